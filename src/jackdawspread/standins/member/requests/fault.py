"""Changes timing or injects faults; absent fields stay as they are."""

from typing import NamedTuple


class Fault(NamedTuple):
    """Changes timing or injects faults; absent fields stay as they are."""

    service_ms: float | None = None
    replication_lag_ms: float | None = None
    connect_ms: float | None = None
    silent: bool = False
    cut: tuple[str, ...] | None = None
