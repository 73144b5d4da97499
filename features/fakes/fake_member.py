"""In-process database member that implements the member protocol."""

from typing import Any

from features.fakes.fake_entry import FakeEntry

from jackdawspread.messages.position import Position

Response = tuple[int, dict[str, Any]]
START = Position(1024, 1)


class FakeMember:
    """Member with a log but without SQL; attributes switch faults on."""

    def __init__(self, address: str, members: dict[str, "FakeMember"]) -> None:
        self.address, self.members = address, members
        self.role, self.term, self.promised = "replica", START.term, START.term
        self.upstream = ""
        self.entries = [FakeEntry(START, 0.0)]
        self.is_unreachable = self.is_isolated = self.is_refusing = False
        self.lag = self.apply_lag = 0.0
        self.service = 0.001
        self.lost_answers: list[str] = []
        self.late_answers: list[Any] = []
        self.dropped_calls: list[str] = []
        self.ran: list[tuple[str, int, str]] = []
        self.peak_statements = self.peak_connections = 0
        self.statements = self.connections = 0
        self.owner_of_transaction: dict[str, int] = {}

    def sync(self, now: float) -> None:
        """Copy the entries that the upstream wrote at least ``lag`` seconds ago."""
        upstream = self.members.get(self.upstream)
        if upstream is None or self.is_isolated or upstream.is_isolated:
            return
        if upstream.role == "primary" and upstream.term == self.term == self.promised:
            known = [e for e in upstream.entries if e.written_at <= now - self.lag]
            shared = [e for e in self.entries if e in upstream.entries]
            self.entries = max(known, shared, key=len)

    def handle(
        self, connection: int, path: str, body: dict[str, Any], now: float
    ) -> Response:
        """Answer one call."""
        self.sync(now)
        name = path.strip("/")
        self.ran.append((name, connection, _label(body)))
        answer: Response = getattr(self, f"on_{name}")(connection, body, now)
        return answer

    def on_connect(self, connection: int, body: dict[str, Any], now: float) -> Response:
        """Set up a connection."""
        return 200, {}

    def on_status(self, connection: int, body: dict[str, Any], now: float) -> Response:
        """Report the state."""
        upstream = self.members.get(self.upstream)
        is_reachable = upstream is not None and not upstream.is_isolated
        return 200, {
            "role": self.role,
            "term": self.term,
            "promised": self.promised,
            "position": self.entries[-1].position,
            "applied": self._applied(now),
            "upstream_age_ms": 0 if is_reachable and not self.is_isolated else 10_000,
        }

    def _applied(self, now: float) -> Position:
        """Return the last position that reads show."""
        due = now - self.apply_lag if self.role == "replica" else now
        shown = [e.position for e in self.entries if e.written_at <= due]
        return shown[-1] if shown else START

    def on_read(self, connection: int, body: dict[str, Any], now: float) -> Response:
        """Read, if the reads of this member show the position."""
        if body["term"] and (self.role != "primary" or body["term"] != self.term):
            return 409, {"code": "not_primary"}
        position = body["position"]
        end = self._applied(now)
        if position is not None and position > end:
            return 409, {"code": "behind"}
        if position is not None and position not in [e.position for e in self.entries]:
            return 409, {"code": "behind" if position > end else "diverged"}
        row = {"columns": ["served"], "rows": [[self.address]], "more": False}
        return 200, {**row, "position": end, "role": self.role}

    def on_write(self, connection: int, body: dict[str, Any], now: float) -> Response:
        """Write once for each request id."""
        if self.role != "primary":
            return 409, {"code": "not_primary"}
        if not body["term"] == self.term == self.promised:
            return 409, {"code": "stale_term"}
        record = (body["workspace"], body["request_id"])
        found = next((e for e in self.entries if e.record == record), None)
        if found is None:
            results = [{"columns": [], "rows": [], "changes": 1}]
            found = self.append(now, record, results)
            replayed = False
        else:
            replayed = True
        position = found.position
        body = {"results": found.results, "position": position, "replayed": replayed}
        return 200, body

    def append(self, now: float, record: Any = None, results: Any = None) -> FakeEntry:
        """Append an entry in the member's term."""
        end = self.entries[-1].position
        position = Position(self.term, end.sequence + 1)
        self.entries.append(FakeEntry(position, now, record, results))
        return self.entries[-1]

    def on_outcome(self, connection: int, body: dict[str, Any], now: float) -> Response:
        """Return the outcome of a request id."""
        if self.role != "primary" or body["term"] != self.term:
            return 409, {"code": "not_primary"}
        record = (body["workspace"], body["request_id"])
        for entry in self.entries:
            if entry.record == record:
                results, position = entry.results, entry.position
                return 200, {"found": True, "results": results, "position": position}
        return 200, {"found": False}

    def on_confirm(self, connection: int, body: dict[str, Any], now: float) -> Response:
        """Report whether the log contains a position in the current term."""
        held = (
            any(e.position == body["position"] for e in self.entries)
            and self.entries[-1].position.term == body["term"]
            and self.promised <= body["term"]
        )
        return 200, {"held": held, "promised": self.promised}

    def on_prepare(self, connection: int, body: dict[str, Any], now: float) -> Response:
        """Promise a term."""
        granted = body["term"] >= self.promised
        self.promised = max(self.promised, body["term"])
        position = self.entries[-1].position
        return 200, {
            "granted": granted,
            "promised": self.promised,
            "position": position,
        }

    def on_open(self, connection: int, body: dict[str, Any], now: float) -> Response:
        """Become the primary of a term."""
        if body["term"] != self.promised:
            return 409, {"code": "stale_term"}
        if (self.role, self.term) != ("primary", body["term"]):
            self.role, self.term = "primary", body["term"]
            self.append(now)
        return 200, {}

    def on_follow(self, connection: int, body: dict[str, Any], now: float) -> Response:
        """Replicate from the primary of a term."""
        if body["term"] < self.promised:
            return 409, {"code": "stale_term"}
        self.role, self.upstream = "replica", body["address"]
        self.term = self.promised = body["term"]
        return 200, {}

    def on_begin(self, connection: int, body: dict[str, Any], now: float) -> Response:
        """Begin a transaction on a connection."""
        id = f"t{len(self.owner_of_transaction)}"
        self.owner_of_transaction[id] = connection
        return 200, {"transaction": id}

    def on_execute(self, connection: int, body: dict[str, Any], now: float) -> Response:
        """Run a statement of the transaction that began on the connection."""
        if self.owner_of_transaction.get(body["transaction"]) != connection:
            return 409, {"code": "unknown_transaction"}
        return 200, {"columns": [], "rows": [], "changes": 0}

    def on_commit(self, connection: int, body: dict[str, Any], now: float) -> Response:
        """Commit a transaction."""
        return self.on_write(connection, body, now)

    def on_rollback(
        self, connection: int, body: dict[str, Any], now: float
    ) -> Response:
        """Roll back a transaction."""
        return 200, {}


def _label(body: dict[str, Any]) -> str:
    statement = body.get("statement", {})
    return str(body.get("request_id") or statement.get("sql") or "")
