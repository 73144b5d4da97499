"""What the statuses of a group say about its primary and its paused replicas."""

from collections.abc import Iterable, Mapping

from jackdawspread.messages.fleet.log_status import LogStatus
from jackdawspread.messages.fleet.member_listing import MemberListing


def find_other_primary(primary: str, status_by_member: Mapping[str, LogStatus]) -> str:
    """Return why the members show that there is another primary, empty if not."""
    for member, status in status_by_member.items():
        if status.claims_primary != (member == primary):
            return "another member claims to be the primary"
    return ""


def paused_replicas(
    replicas: Iterable[MemberListing], status_by_member: Mapping[str, LogStatus]
) -> tuple[MemberListing, ...]:
    """Return the replicas that an earlier attempt left paused.

    The attempt that queried them holds the lock, so no other one relies on their
    pauses.
    """
    return tuple(
        replica
        for replica in replicas
        if replica.id in status_by_member and status_by_member[replica.id].paused_term
    )
