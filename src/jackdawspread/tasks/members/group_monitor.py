"""Beliefs about all member groups."""

from absl import logging
from trio import MemorySendChannel, WouldBlock

from jackdawspread.decisions.failover.find_failover_trigger import find_failover_trigger
from jackdawspread.decisions.members.group_state import GroupState
from jackdawspread.decisions.members.group_updates import adopt_listing, observe
from jackdawspread.messages.fleet.failover_trigger import FailoverTrigger
from jackdawspread.messages.fleet.leadership_refused import LeadershipRefused
from jackdawspread.messages.fleet.member_observation import MemberObservation
from jackdawspread.messages.fleet.member_unreachable import MemberUnreachable
from jackdawspread.messages.fleet.members_seen import MembersSeen
from jackdawspread.messages.fleet.refresh_members import RefreshMembers

# The same doubt is reported again after this time.
SUSPICION_REPEAT_S = 0.3


class GroupMonitor:
    """Views of all groups, and what follows from their changes.

    Belongs to the member router.

    Parameters
    ----------
    succession : trio.MemorySendChannel
        Takes doubts about primaries.
    refresh : trio.MemorySendChannel
        Takes wishes for a newer list of members.
    """

    def __init__(
        self,
        succession: MemorySendChannel[FailoverTrigger],
        refresh: MemorySendChannel[RefreshMembers],
    ) -> None:
        self._failover = succession
        self._refresh = refresh
        self._view_by_group: dict[str, GroupState] = {}
        self._suspected_at_by_group: dict[str, float] = {}

    def view(self, group: str) -> GroupState:
        """Return what is believed of a group."""
        return self._view_by_group.get(group, GroupState())

    def adopt(self, event: MembersSeen, now: float) -> None:
        """Follow the list of members."""
        groups = {listing.group for listing in event.listing_by_id.values()}
        for group in groups | self._view_by_group.keys():
            listings = {
                id: listing
                for id, listing in event.listing_by_id.items()
                if listing.group == group
            }
            view = adopt_listing(self.view(group), listings, event.as_of)
            self._change(group, view, "list")
            self.report_failover_trigger(group, now)

    def observe(self, event: MemberObservation, now: float) -> None:
        """Follow an observation about one member."""
        view = observe(event, self.view(event.group))
        self._change(event.group, view, type(event).__name__)
        if isinstance(event, MemberUnreachable):
            logging.info(
                "router: member unreachable member=%s group=%s stalled_write=%s "
                "failures=%d reason=%r",
                event.member,
                event.group,
                event.write_timed_out,
                view.suspicion.failures,
                event.reason,
            )
        if isinstance(event, LeadershipRefused | MemberUnreachable):
            self.request_refresh(type(event).__name__)
            self.report_failover_trigger(event.group, now)

    def request_refresh(self, reason: str) -> None:
        """Ask for a newer list of members."""
        try:
            self._refresh.send_nowait(RefreshMembers(reason))
        except WouldBlock:
            # A refresh is already asked for.
            return

    def report_failover_trigger(self, group: str, now: float) -> None:
        """Report a doubt about the primary of a group, if there is one."""
        doubt = find_failover_trigger(group, self._view_by_group.get(group), now)
        last = self._suspected_at_by_group.get(group, 0.0)
        if doubt is None or now - last < SUSPICION_REPEAT_S:
            return
        self._suspected_at_by_group[group] = now
        try:
            self._failover.send_nowait(doubt)
        except WouldBlock:
            logging.warning("router: doubt dropped group=%s", group)

    def _change(self, group: str, view: GroupState, source: str) -> None:
        before = self.view(group)
        self._view_by_group[group] = view
        if before.primary != view.primary:
            logging.info(
                "router: primary changed group=%s from=%s to=%s source=%s members=%d",
                group,
                before.primary or "none",
                view.primary or "none",
                source,
                len(view.listing_by_id),
            )
