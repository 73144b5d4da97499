"""Members for reads, and the reads that leave the failure domain."""

from collections.abc import Mapping

from jackdawspread.decisions.members.cold_members import prefer_warm
from jackdawspread.decisions.members.eligible_members import read_candidates
from jackdawspread.decisions.members.member_candidate import MemberCandidate
from jackdawspread.decisions.members.member_choice import choose_member
from jackdawspread.decisions.placement.domain_candidates import prefer_own_domain
from jackdawspread.messages.fleet.connection_request import ConnectionRequest
from jackdawspread.messages.fleet.placement_changed import PlacementChanged
from jackdawspread.messages.fleet.primary_position_reply import PrimaryPositionReply
from jackdawspread.messages.fleet.primary_position_requested import (
    PrimaryPositionRequested,
)
from jackdawspread.tasks.boot_clock import seconds_since_boot
from jackdawspread.tasks.members.domain_departures import DomainDepartures
from jackdawspread.tasks.members.group_monitor import GroupMonitor
from jackdawspread.tasks.members.member_limits import MemberLimits
from jackdawspread.tasks.members.member_pool import MemberPool
from jackdawspread.tasks.members.position_exchange import PositionExchange


class ReadRouting:
    """Chooses members for reads; only the member router uses this object.

    Parameters
    ----------
    failure_domain : str
        Failure domain of this instance.
    region_by_domain : mapping
        Region of each failure domain.
    group_monitor : GroupMonitor
        States of the member groups.
    limits : MemberLimits
        Knows the pool hosts.
    positions : PositionExchange
        Asks other pool hosts for positions.
    """

    def __init__(
        self,
        failure_domain: str,
        region_by_domain: Mapping[str, str],
        group_monitor: GroupMonitor,
        limits: MemberLimits,
        positions: PositionExchange,
    ) -> None:
        self._failure_domain = failure_domain
        self._region_by_domain = region_by_domain
        self._group_monitor = group_monitor
        self._limits = limits
        self._positions = positions
        self._departures = DomainDepartures(failure_domain)

    def choose(
        self,
        request: ConnectionRequest,
        pool_by_member: Mapping[str, MemberPool],
        now: float,
    ) -> str | None:
        """Return the id of the member for a read, None if only the primary may."""
        candidates = self._candidates(request, pool_by_member, now)
        if self._limits.has_domain_hosts(request.group):
            candidates = prefer_own_domain(candidates)
        return choose_member(candidates)

    def refusal_code(
        self,
        request: ConnectionRequest,
        pool_by_member: Mapping[str, MemberPool],
        now: float,
    ) -> str:
        """Return the code with which a read is sent to another failure domain."""
        is_placed = self._limits.has_domain_hosts(request.group)
        if not is_placed or not request.caller_domain:
            return ""
        self._ask_for_position(request.group)
        return self._departures.refusal_code(
            request,
            self._candidates(request, pool_by_member, now),
            pool_by_member,
            self._limits.near_hosts(request.group),
        )

    def update_placement(self, event: PlacementChanged) -> None:
        """Apply a change of the placement."""
        self._limits.set_placement(event.is_domain_aware)
        self._departures.crossing_delay_s = event.crossing_delay_s

    def answer_position(self, event: PrimaryPositionRequested) -> None:
        """Send the newest position of a primary to another instance."""
        samples = self._group_monitor.state(event.request.group).samples
        self._positions.answer(event, samples)

    def add_position(self, reply: PrimaryPositionReply) -> None:
        """Add the position that another instance has sent."""
        answered = self._positions.take_reply(reply)
        if answered is not None:
            self._group_monitor.add_sample(*answered)

    def _ask_for_position(self, group: str) -> None:
        state = self._group_monitor.state(group)
        primary = state.listing_by_id.get(state.primary)
        if primary is not None:
            addresses = self._limits.host_addresses(group, primary.failure_domain)
            self._positions.ask_if_needed(group, state.samples, addresses)

    def _candidates(
        self,
        request: ConnectionRequest,
        pool_by_member: Mapping[str, MemberPool],
        now: float,
    ) -> list[MemberCandidate]:
        state = self._group_monitor.state(request.group)
        candidates = read_candidates(
            state,
            request,
            pool_by_member,
            self._failure_domain,
            now,
            seconds_since_boot(),
            self._region_by_domain,
        )
        return prefer_warm(candidates, state, self._limits.group(request.group), now)
