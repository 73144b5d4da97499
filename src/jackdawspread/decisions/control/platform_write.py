"""Compare-and-set write to the platform's table."""

from typing import Any, NamedTuple


class PlatformWrite(NamedTuple):
    """Write of one row whose outcome is not known yet.

    ``answer_lost_at`` is the time at which its answer was lost, or None while the
    answer may still arrive. The transaction also expects ``other_versions`` of
    further rows and stores ``other_values`` in some of them.
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
