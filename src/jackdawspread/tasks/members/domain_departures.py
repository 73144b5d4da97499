"""Reads that leave the failure domain, and those that come from others."""

from collections.abc import Mapping, Sequence
from math import inf

from absl import logging

from jackdawspread.decisions.members.member_candidate import MemberCandidate
from jackdawspread.decisions.placement.departure_state import DepartureState
from jackdawspread.decisions.placement.departure_steps import LEAVE_DOMAIN, NO_ROOM
from jackdawspread.decisions.placement.departures import (
    decide_departure,
    expected_wait_s,
    has_room,
)
from jackdawspread.messages.fleet.connection_request import ConnectionRequest
from jackdawspread.tasks.fleet.fleet_metrics import DEPARTURE_SHARE, DOMAIN_DEPARTURES
from jackdawspread.tasks.members.member_pool import MemberPool


class DomainDepartures:
    """Decides for the member router whether it serves a read.

    Parameters
    ----------
    failure_domain : str
        Failure domain of this instance.
    """

    def __init__(self, failure_domain: str) -> None:
        self._failure_domain = failure_domain
        self._state_by_group: dict[str, DepartureState] = {}
        # Delay to the nearest other failure domain in seconds, one way.
        self.crossing_delay_s = inf

    def refusal_code(
        self,
        request: ConnectionRequest,
        candidates: Sequence[MemberCandidate],
        pool_by_member: Mapping[str, MemberPool],
        hosts: int,
    ) -> str:
        """Return the code with which a read is sent on, empty if it is served here.

        Parameters
        ----------
        request : ConnectionRequest
            The read.
        candidates : sequence of MemberCandidate
            Members that may serve it, in all failure domains.
        pool_by_member : mapping
            Pools of connections to them.
        hosts : int
            Number of pool hosts of the group in this failure domain.
        """
        near = [candidate for candidate in candidates if candidate.is_same_domain]
        least = min(near, key=lambda candidate: candidate.in_use, default=None)
        if request.caller_domain != self._failure_domain:
            if least is not None and has_room(least.in_use, least.slots, hosts):
                return ""
            DOMAIN_DEPARTURES.labels(request.group, "no_room").inc()
            return NO_ROOM
        wait_s = inf
        if least is not None:
            duration_s = pool_by_member[least.id].statement_duration_s
            wait_s = expected_wait_s(least.in_use, least.slots, hosts, duration_s)
        if not self._leaves(request.group, wait_s):
            return ""
        result = "left" if least is not None else "no_member"
        DOMAIN_DEPARTURES.labels(request.group, result).inc()
        return LEAVE_DOMAIN

    def _leaves(self, group: str, wait_s: float) -> bool:
        before = self._state_by_group.get(group, DepartureState())
        state, leaves = decide_departure(before, wait_s, self.crossing_delay_s)
        self._state_by_group[group] = state
        DEPARTURE_SHARE.labels(group).set(state.share)
        if state.is_leaving != before.is_leaving:
            logging.info(
                "router: departures changed group=%s leaving=%s share=%.2f "
                "wait_ms=%.0f crossing_ms=%.1f",
                group,
                state.is_leaving,
                state.share,
                1000 * state.wait_s,
                1000 * self.crossing_delay_s,
            )
        return leaves
