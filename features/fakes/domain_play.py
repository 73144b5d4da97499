"""Discrete play of reads in several failure domains, each with one member."""

from heapq import heappop, heappush
from math import inf

from jackdawspread.decisions.members.member_candidate import MemberCandidate
from jackdawspread.decisions.placement.departure_steps import (
    LEAVE_DOMAIN,
    next_departure,
)
from jackdawspread.messages.fleet.connection_request import ConnectionRequest
from jackdawspread.messages.fleet.departure import Departure
from jackdawspread.messages.fleet.member_requirement import MemberRequirement
from jackdawspread.tasks.members.domain_departures import DomainDepartures

SLOTS = 6
HOSTS = 1
WORK_S = 0.028
CROSSING_S = 0.0044
STEP_S = 0.001


class DomainPlay:
    """Plays reads against the decisions of one pool host in each failure domain.

    Parameters
    ----------
    domains : tuple of str
        Failure domains.
    """

    def __init__(self, domains: tuple[str, ...]) -> None:
        self.now = 0.0
        self.lost: set[str] = set()
        self.in_use_by_domain = dict.fromkeys(domains, 0)
        self.most_foreign_by_domain = dict.fromkeys(domains, 0)
        self.left_by_domain = dict.fromkeys(domains, 0)
        self.latencies_s_by_domain: dict[str, list[float]] = {d: [] for d in domains}
        self.statement_duration_s = WORK_S
        self._foreign_by_domain = dict.fromkeys(domains, 0)
        self._free_at_by_domain = {domain: [0.0] * SLOTS for domain in domains}
        self._ends: list[tuple[float, str, bool]] = []
        self._host_by_domain = {domain: DomainDepartures(domain) for domain in domains}
        for host in self._host_by_domain.values():
            host.crossing_delay_s = CROSSING_S

    def run(self, seconds: float, per_s_by_domain: dict[str, float]) -> None:
        """Send reads at even rates."""
        due = dict.fromkeys(per_s_by_domain, 0.0)
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            self._finish()
            for domain, per_s in per_s_by_domain.items():
                due[domain] += per_s * STEP_S
                while due[domain] >= 1:
                    due[domain] -= 1
                    self._read(domain)

    def _finish(self) -> None:
        while self._ends and self._ends[0][0] <= self.now:
            _, domain, is_foreign = heappop(self._ends)
            self.in_use_by_domain[domain] -= 1
            self._foreign_by_domain[domain] -= is_foreign

    def _read(self, caller: str) -> None:
        """Request leases as a session does, until a host serves the read."""
        domain, departure = caller, Departure.ASK
        others = [d for d in self.in_use_by_domain if d not in (caller, *self.lost)]
        code = self._code(domain, caller)
        while code and (following := next_departure(departure, code)):
            departure = following
            if code == LEAVE_DOMAIN and others:
                domain = min(others, key=lambda d: self.in_use_by_domain[d])
                code = self._code(domain, caller)
            else:
                domain, code = caller, ""
        if domain in self.lost:
            domain = min(others, key=lambda d: self.in_use_by_domain[d])
        self._serve(domain, caller)

    def _code(self, domain: str, caller: str) -> str:
        request = ConnectionRequest(
            "g",
            "w",
            MemberRequirement.FRESH,
            "",
            1.0,
            None,
            frozenset(),
            1,
            inf,
            True,
            None,
            caller_domain=caller,
        )
        candidates = []
        if domain not in self.lost:
            in_use = self.in_use_by_domain[domain]
            candidates = [
                MemberCandidate("m", in_use, SLOTS, True, True, True, False, 0)
            ]
        host = self._host_by_domain[domain]
        return host.refusal_code(request, candidates, {"m": self}, HOSTS)

    def _serve(self, domain: str, caller: str) -> None:
        is_foreign = domain != caller
        travel_s = 4 * CROSSING_S if is_foreign else 0.0
        free_at = heappop(self._free_at_by_domain[domain])
        end = max(free_at, self.now) + WORK_S
        heappush(self._free_at_by_domain[domain], end)
        heappush(self._ends, (end, domain, is_foreign))
        self.in_use_by_domain[domain] += 1
        self._foreign_by_domain[domain] += is_foreign
        self.left_by_domain[caller] += is_foreign
        most = max(self.most_foreign_by_domain[domain], self._foreign_by_domain[domain])
        self.most_foreign_by_domain[domain] = most
        self.latencies_s_by_domain[caller].append(end - self.now + travel_s)
