"""Log entry of the fake member."""

from typing import Any, NamedTuple

from jackdawspread.messages.position import Position


class FakeEntry(NamedTuple):
    """Entry with the record of its binding request, if it has one."""

    position: Position
    written_at: float
    record: tuple[str, str] | None = None
    results: list[dict[str, Any]] | None = None
