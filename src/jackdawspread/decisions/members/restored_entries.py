"""Entries of members that a restored store has from its copy."""

from collections.abc import Mapping
from typing import NamedTuple

from jackdawspread.messages.fleet.member_listing import MemberListing

# A member writes its entry about once a second. The entry of a member that has left
# expires within this time after a restore.
TRUSTED_AFTER_S = 5.0


class RestoredEntries(NamedTuple):
    """Versions of the entries in the first list that was read after a restore.

    Parameters
    ----------
    version_by_id : mapping
        Version of each entry by the id of its member.
    trusted_at : float
        Monotonic time in seconds from which every entry counts.
    """

    version_by_id: Mapping[str, int] = {}
    trusted_at: float = 0.0


def replace_copied_entries(
    known: Mapping[str, MemberListing],
    listed: Mapping[str, MemberListing],
    version_by_id: Mapping[str, int],
    restored: RestoredEntries,
    now: float,
) -> dict[str, MemberListing]:
    """Return the listed members without what may be from before the restore.

    An entry counts once its member has written it again. Until then the known one
    stays: in the copy a member that is leaving may be ready, and one that has left may
    be listed.
    """
    if now >= restored.trusted_at:
        return dict(listed)
    replaced = {}
    for id, listing in listed.items():
        if version_by_id[id] != restored.version_by_id.get(id):
            replaced[id] = listing
        elif id in known:
            replaced[id] = known[id]
    return replaced
