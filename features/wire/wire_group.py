"""Group of stand-in members that share one log."""

import json

from features.wire.executed_statement import ExecutedStatement
from features.wire.table_store import TableStore


class WireGroup:
    """Terms, log and items of a service.

    Every member applies a commit at once; the tests of lag are those of decisions.
    """

    def __init__(self, name: str, store: TableStore) -> None:
        self.name = name
        self.store = store
        self.term = 1
        self.number = 0
        self.primary = ""
        self.item_by_name: dict[str, str] = {}
        self.runs: list[ExecutedStatement] = []
        self.address_by_member: dict[str, str] = {}
        self.dead: set[str] = set()
        self.leaving: set[str] = set()
        self.paused_by_member: dict[str, int] = {}
        # Commits that take effect without an answer.
        self.lose_answers = 0
        # Connections whose statements are never answered.
        self.is_silent = False
        # Answer to single writes and commits in place of running them.
        self.refuse_with = ""

    @property
    def position(self) -> str:
        """End of the log."""
        return f"{self.term}.{self.number}"

    def register(self) -> None:
        """Write the entries of all living members."""
        for member, address in self.address_by_member.items():
            if member in self.dead:
                self.store.drop("servers", member)
                continue
            entry = {
                "Service": self.name,
                "Address": address,
                "Zone": "z1",
                "Version": "v1",
                "Slots": 4,
                "State": "draining" if member in self.leaving else "ready",
                "ColdRemainingMs": 0,
                "DbRole": "primary" if member == self.primary else "replica",
                "Seq": 1,
                "born": 1,
            }
            self.store.put("servers", member, json.dumps(entry).encode())

    def promote(self, member: str) -> int:
        """Make a living member lead the next term."""
        if member in self.dead or member not in self.address_by_member:
            return 409
        if member != self.primary:
            self.term += 1
            self.primary = member
            self.paused_by_member.clear()
            self.register()
        return 200

    def commit(self, writes: dict[str, str]) -> None:
        """Append a commit to the log."""
        self.item_by_name.update(writes)
        self.number += 1
