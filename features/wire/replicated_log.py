"""Log of one stand-in member."""

from features.wire.log_entry import LogEntry


class ReplicatedLog:
    """Holds commits; an entry's number is its index plus one.

    Two logs with the same term at a number are equal up to it, as a term has one
    primary.
    """

    def __init__(self) -> None:
        self.entries: list[LogEntry] = []
        self.item_by_name: dict[str, str] = {}

    @property
    def end(self) -> tuple[int, int]:
        """Term and number of the last entry."""
        if not self.entries:
            return 1, 0
        return self.entries[-1][:2]

    @property
    def ids(self) -> list[str]:
        """Ids of all statements that wrote, in the order of the log."""
        return [id for entry in self.entries for id in entry.ids]

    def append(self, term: int, ids: tuple[str, ...], writes: dict[str, str]) -> int:
        """Add a commit; return its number."""
        self.entries.append(LogEntry(term, len(self.entries) + 1, ids, writes))
        self.item_by_name.update(writes)
        return len(self.entries)

    def holds(self, term: int, number: int) -> bool:
        """Whether the log contains an entry."""
        at = number - 1
        return at < len(self.entries) and self.entries[at].term == term

    def differs(self, source: "ReplicatedLog") -> bool:
        """Whether this log is not equal to another."""
        return self.end != source.end

    def follow(self, source: "ReplicatedLog") -> None:
        """Roll back what the source lacks, and receive the rest of it."""
        kept = min(len(self.entries), len(source.entries))
        while kept and self.entries[kept - 1].term != source.entries[kept - 1].term:
            kept -= 1
        is_rolled_back = kept < len(self.entries)
        self.entries[kept:] = source.entries[kept:]
        if is_rolled_back:
            self.item_by_name, kept = {}, 0
        for entry in self.entries[kept:]:
            self.item_by_name.update(entry.writes)
