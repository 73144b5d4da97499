"""Group of stand-in members that share one log."""

import json

from features.wire.executed_statement import ExecutedStatement
from features.wire.table_store import TableStore


class WireGroup:
    """Holds the term, log and items that the members of a service share.

    Every member applies a commit at once. Replication lag is tested with the decisions
    on members instead.
    """

    def __init__(self, name: str, store: TableStore) -> None:
        self.name = name
        self.store = store
        self.term = 1
        self.sequence = 0
        self.primary = ""
        self.item_by_name: dict[str, str] = {}
        self.runs: list[ExecutedStatement] = []
        self.address_by_member: dict[str, str] = {}
        self.domain_by_member: dict[str, str] = {}
        self.cold_ms_by_member: dict[str, object] = {}
        self.dead: set[str] = set()
        self.leaving: set[str] = set()
        self.paused_by_member: dict[str, int] = {}
        # Number of commits to execute without an answer.
        self.lose_answers = 0
        # Whether statements are left unanswered.
        self.is_silent = False
        # Number of SET commands to refuse as busy.
        self.refused_values = 0
        # Error with which writes and commits are refused; empty to run them.
        self.refuse_with = ""

    @property
    def position(self) -> str:
        """Position of the end of the log."""
        return f"{self.term}.{self.sequence}"

    def register(self) -> None:
        """Write the entries of all live members to the list of members."""
        for member, address in self.address_by_member.items():
            if member in self.dead:
                self.store.delete("servers", member)
                continue
            entry = {
                "Service": self.name,
                "Address": address,
                "Zone": self.domain_by_member.get(member, "z1"),
                "Version": "v1",
                "Slots": 4,
                "State": "draining" if member in self.leaving else "ready",
                "ColdRemainingMs": self.cold_ms_by_member.get(member, 0),
                "DbRole": "primary" if member == self.primary else "replica",
                "Seq": 1,
                "born": 1,
            }
            self.store.put("servers", member, json.dumps(entry).encode())

    def promote(self, member: str) -> int:
        """Make a live member the primary of the next term."""
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
        self.sequence += 1
