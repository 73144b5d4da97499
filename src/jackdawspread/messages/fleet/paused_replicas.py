"""Replicas that an attempt has paused."""

from typing import NamedTuple

from jackdawspread.messages.fleet.member_listing import MemberListing


class PausedReplicas(NamedTuple):
    """Replicas whose logs can't grow any more, unless a promotion takes effect.

    Parameters
    ----------
    listed : tuple of MemberListing
        Replicas in the list of members.
    unlisted : tuple of MemberListing
        Replicas that answer although their entries have expired.
    term : int
        Term under which they were paused.
    """

    listed: tuple[MemberListing, ...]
    unlisted: tuple[MemberListing, ...]
    term: int

    @property
    def all(self) -> tuple[MemberListing, ...]:
        """The listed and the unlisted replicas."""
        return (*self.listed, *self.unlisted)
