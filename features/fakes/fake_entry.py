"""Log entry of the fake member."""

from typing import Any, NamedTuple

from jackdawspread.messages.position import Position


class FakeEntry(NamedTuple):
    """Log entry with the record of the binding write that made it, if any."""

    position: Position
    written_at: float
    record: tuple[str, str] | None = None
    results: list[dict[str, Any]] | None = None
