"""Keeps members whose list entries expired during an outage of the store."""

from jackdawspread.messages.fleet.member_listing import MemberListing

# Members whose entries expired during an outage register again within this time
# after its end.
REREGISTRATION_S = 2.5


def retain_members(
    known: dict[str, MemberListing],
    listed: dict[str, MemberListing],
    outage_ended_at: float,
    now: float,
) -> dict[str, MemberListing]:
    """Return the known members after the list was read.

    A member that is missing from the list just after an outage of the store may
    still be running: it could not renew its entry, which then expired.
    """
    if now - outage_ended_at > REREGISTRATION_S:
        return listed
    return {**known, **listed}
