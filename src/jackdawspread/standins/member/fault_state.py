"""Simulated delays and active faults of a member."""

from typing import NamedTuple

from jackdawspread.standins.member.requests.fault import Fault


class FaultState(NamedTuple):
    """Delays in milliseconds, and the names of peers whose traffic is dropped."""

    service_ms: float
    replication_lag_ms: float
    connect_ms: float
    cut: frozenset[str] = frozenset()


def decide_fault(state: FaultState, request: Fault) -> FaultState:
    """Return the state with the fields of the request that are present."""
    times = {
        name: value
        for name in ("service_ms", "replication_lag_ms", "connect_ms")
        if (value := getattr(request, name)) is not None
    }
    state = state._replace(**times)
    return state if request.cut is None else state._replace(cut=frozenset(request.cut))
