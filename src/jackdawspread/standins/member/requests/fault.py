"""Changes delays or injects faults; absent fields leave the settings unchanged."""

from typing import NamedTuple


class Fault(NamedTuple):
    """Changes delays or injects faults; absent fields leave the settings unchanged."""

    service_ms: float | None = None
    replication_lag_ms: float | None = None
    connect_ms: float | None = None
    silent: bool = False
    cut: tuple[str, ...] | None = None
