"""Compare-and-set write to the platform."""

from typing import Any, NamedTuple


class PlatformWrite(NamedTuple):
    """Write of one row that has not been resolved.

    ``answer_lost_at`` is the time at which its answer was lost; None while the
    answer is awaited. ``other_versions`` are expected of further rows, of which
    ``other_values`` are stored in the same transaction.
    """

    write_id: str
    key: str
    expected_version: int
    value: dict[str, Any]
    started_at: float
    answer_lost_at: float | None = None
    admin_request_id: str = ""
    may_have_run: bool = False
    other_versions: dict[str, int] = {}
    other_values: dict[str, dict[str, Any]] = {}
