"""Tracks the state of all member groups."""

from collections.abc import Mapping
from math import inf

from absl import logging
from trio import MemorySendChannel, WouldBlock

from jackdawspread.decisions.failover.find_failover_trigger import (
    EVACUATED,
    find_failover_trigger,
)
from jackdawspread.decisions.members.group_state import GroupState
from jackdawspread.decisions.members.group_updates import (
    apply_member_list,
    apply_observation,
)
from jackdawspread.decisions.members.position_samples import add_sample
from jackdawspread.decisions.members.primary_position_sample import (
    PrimaryPositionSample,
)
from jackdawspread.messages.fleet.failover_trigger import FailoverTrigger
from jackdawspread.messages.fleet.leadership_refused import LeadershipRefused
from jackdawspread.messages.fleet.member_group import MemberGroup
from jackdawspread.messages.fleet.member_observation import MemberObservation
from jackdawspread.messages.fleet.member_unreachable import MemberUnreachable
from jackdawspread.messages.fleet.members_seen import MembersSeen
from jackdawspread.messages.fleet.position_seen import PositionSeen
from jackdawspread.messages.fleet.refresh_members import RefreshMembers
from jackdawspread.messages.pool_hosts.lease_broker_event import LeaseBrokerEvent
from jackdawspread.messages.pool_hosts.primary_moved import PrimaryMoved
from jackdawspread.tasks.members.commit_check import CommitCheck

# An evacuation reaches all instances at once. Those that don't serve connections of a
# group for the others begin its switchover only after this time, so that a few
# instances request the promotion lock.
SWITCHOVER_BACKUP_DELAY_S = 1.0
# A failover trigger of the same group is sent again after this time at the earliest.
TRIGGER_REPEAT_INTERVAL_S = 0.3


class GroupMonitor:
    """Tracks the state of all groups and reports failover triggers.

    Only the member router uses this object.

    Parameters
    ----------
    failover : trio.MemorySendChannel
        Receives failover triggers.
    refresh : trio.MemorySendChannel
        Receives requests for a newer list of members.
    broker : trio.MemorySendChannel
        Receives the failure domains of the primaries.
    """

    def __init__(
        self,
        failover: MemorySendChannel[FailoverTrigger],
        refresh: MemorySendChannel[RefreshMembers],
        broker: MemorySendChannel[LeaseBrokerEvent],
    ) -> None:
        self._failover_triggers = failover
        self._refresh = refresh
        self._broker = broker
        self._state_by_group: dict[str, GroupState] = {}
        self._reported_domain_by_group: dict[str, str] = {}
        self._work_until_by_domain: dict[str, float] = {}
        self._commit_check_by_group: dict[str, CommitCheck] = {}
        self._evacuated_at = -inf
        # Groups whose switchovers this instance begins.
        self._own_groups: frozenset[str] | None = None
        self._triggered_at_by_group: dict[str, float] = {}
        # Groups in which commits are not confirmed by replicas.
        self._asynchronous: frozenset[str] = frozenset()

    def state(self, group: str) -> GroupState:
        """Return the tracked state of a group."""
        state = self._state_by_group.get(group)
        if state is None:
            state = GroupState(work_until_by_domain=self._work_until_by_domain)
        return state

    def update_groups(self, group_by_name: Mapping[str, MemberGroup]) -> None:
        """Note in which groups a promotion has to fence acknowledgements."""
        self._asynchronous = frozenset(
            group.name for group in group_by_name.values() if not group.sync_replicas
        )

    def update_members(self, event: MembersSeen, now: float) -> None:
        """Apply a list of members to the state of all groups."""
        groups = {listing.group for listing in event.listing_by_id.values()}
        for group in groups | self._state_by_group.keys():
            listings = {
                id: listing
                for id, listing in event.listing_by_id.items()
                if listing.group == group
            }
            state = apply_member_list(self.state(group), listings, event.as_of, now)
            self._log_members(group, state)
            self._log_cold(group, state, now)
            self._set_state(group, state, "list")
            self.report_failover_trigger(group, now)

    def _log_members(self, group: str, state: GroupState) -> None:
        """Log the members that this list is the first to name, or not to name."""
        before, after = self.state(group).listing_by_id, state.listing_by_id
        if before.keys() == after.keys():
            return
        added = (after[id] for id in sorted(after.keys() - before.keys()))
        logging.info(
            "router: members changed group=%s added=%s removed=%s members=%d",
            group,
            ",".join(f"{member.id}@{member.address}" for member in added) or "none",
            ",".join(sorted(before.keys() - after.keys())) or "none",
            len(after),
        )

    def _log_cold(self, group: str, state: GroupState, now: float) -> None:
        """Log the members that this list is the first to name as cold."""
        before = self.state(group).cold_until_by_member
        for member, until in state.cold_until_by_member.items():
            if until > before.get(member, now):
                logging.info(
                    "router: cold member member=%s group=%s remaining_s=%.1f "
                    "reason=started",
                    member,
                    group,
                    until - now,
                )

    def update_evacuations(
        self, work_until_by_domain: dict[str, float], now: float
    ) -> None:
        """Apply the evacuated failure domains to the state of all groups."""
        self._work_until_by_domain = work_until_by_domain
        self._evacuated_at = now
        for group, state in tuple(self._state_by_group.items()):
            self._state_by_group[group] = state._replace(
                work_until_by_domain=work_until_by_domain
            )
            self.report_failover_trigger(group, now)

    def set_own_groups(self, groups: frozenset[str] | None) -> None:
        """Set the groups whose switchovers this instance begins; all if None."""
        self._own_groups = groups

    def handle_observation(self, event: MemberObservation, now: float) -> None:
        """Apply an observation of one member to the state of its group."""
        state = apply_observation(event, self.state(event.group))
        self._set_state(event.group, state, type(event).__name__)
        if isinstance(event, PositionSeen):
            self._check_commits(event)
        if isinstance(event, MemberUnreachable):
            logging.info(
                "router: member unreachable member=%s group=%s stalled_write=%s "
                "failures=%d reason=%r",
                event.member,
                event.group,
                event.write_timed_out,
                state.primary_health.failure_count,
                event.reason,
            )
        if isinstance(event, LeadershipRefused | MemberUnreachable):
            self.request_refresh(type(event).__name__)
            self.report_failover_trigger(event.group, now)

    def _check_commits(self, event: PositionSeen) -> None:
        check = self._commit_check_by_group.get(event.group)
        if check is None:
            check = self._commit_check_by_group[event.group] = CommitCheck(event.group)
        check.observe(event)

    def add_sample(self, group: str, sample: PrimaryPositionSample) -> None:
        """Add a position of the primary that another instance has seen."""
        state = self.state(group)
        samples = add_sample(state.samples, sample.position, sample.at)
        self._state_by_group[group] = state._replace(samples=samples)

    def request_refresh(self, reason: str) -> None:
        """Request a newer list of members."""
        try:
            self._refresh.send_nowait(RefreshMembers(reason))
        except WouldBlock:
            # A refresh has already been requested.
            return

    def report_failover_trigger(self, group: str, now: float) -> None:
        """Report the reason to replace the primary of a group, if there is one."""
        trigger = find_failover_trigger(group, self._state_by_group.get(group), now)
        last = self._triggered_at_by_group.get(group, 0.0)
        if trigger is None or now - last < TRIGGER_REPEAT_INTERVAL_S:
            return
        if trigger.reason == EVACUATED and not self._begins_switchover(group, now):
            return
        self._triggered_at_by_group[group] = now
        # As in the acknowledgement task, an unknown group counts as synchronous.
        fences = group not in self._asynchronous
        trigger = trigger._replace(fences_acknowledgements=fences)
        try:
            self._failover_triggers.send_nowait(trigger)
        except WouldBlock:
            logging.warning(
                "router: failover trigger dropped, inbox full group=%s", group
            )

    def _begins_switchover(self, group: str, now: float) -> bool:
        return (
            self._own_groups is None
            or group in self._own_groups
            or now - self._evacuated_at >= SWITCHOVER_BACKUP_DELAY_S
        )

    def _set_state(self, group: str, state: GroupState, source: str) -> None:
        before = self.state(group)
        self._state_by_group[group] = state
        if before.primary != state.primary:
            logging.info(
                "router: primary changed group=%s from=%s to=%s source=%s members=%d",
                group,
                before.primary or "none",
                state.primary or "none",
                source,
                len(state.listing_by_id),
            )
        self._report_primary_domain(group, state)

    def _report_primary_domain(self, group: str, state: GroupState) -> None:
        """Report the primary's failure domain to the broker.

        If the inbox is full, the next update of the group reports it again.
        """
        listing = state.listing_by_id.get(state.primary)
        domain = listing.failure_domain if listing is not None else ""
        if domain == self._reported_domain_by_group.get(group, ""):
            return
        try:
            self._broker.send_nowait(PrimaryMoved(group, domain))
        except WouldBlock:
            return
        self._reported_domain_by_group[group] = domain
