"""Compare-and-set write to the platform."""

from typing import Any, NamedTuple


class PlatformWrite(NamedTuple):
    """Write of one row that has not been resolved.

    ``unknown_since`` is the time at which its answer was lost; None while the
    answer is awaited.
    """

    write_id: str
    key: str
    expected_version: int
    value: dict[str, Any]
    started_at: float
    unknown_since: float | None = None
    admin_id: str = ""
    may_have_run: bool = False
