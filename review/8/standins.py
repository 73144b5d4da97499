"""Stand-ins for the users' platform, its members and its clients.

They use only the standard library and speak what PROTOCOL.md says.
"""

import asyncio
import json
import time
from base64 import b64decode, b64encode
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

Row = dict[str, object]
Name = tuple[str, str]
REASON = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone"}
REPLICATION_S = 0.002
PROMOTION_S = 0.3
HEARTBEAT_S = 1.2
# How a read fails at the end of a connection.
ENDS = (OSError, EOFError, asyncio.IncompleteReadError)


class Store:
    """The platform's store and its promotion call, over HTTP."""

    def __init__(self) -> None:
        self.rows: dict[Name, tuple[bytes, int]] = {}
        self.promote: Callable[[str, str], int] = lambda service, member: 404
        self.tokens: dict[str, int] = {}
        self._removed: dict[Name, int] = {}
        self._version = 1
        self._changed = asyncio.Event()

    async def start(self, host: str) -> str:
        """Listen and return ``IP:port``."""
        server = await asyncio.start_server(self._serve, host, 0)
        return "{}:{}".format(*server.sockets[0].getsockname()[:2])

    def put(self, table: str, key: str, document: object) -> None:
        """Write a row, as the operator or a member does."""
        self._version += 1
        self.rows[table, key] = (json.dumps(document).encode(), self._version)
        self._notify()

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        if self.rows.pop((table, key), None) is not None:
            self._version += 1
            self._removed[table, key] = self._version
            self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                first, *lines = head.split("\r\n")
                headers = {
                    key.lower(): value.strip()
                    for key, _, value in (line.partition(":") for line in lines)
                }
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                method, target, _ = first.split(" ")
                status, answer = await self._answer(method, target, headers, body)
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} {REASON.get(status, 'Other')}\r\n"
                    "Content-Type: application/json\r\nStore-Era: 1\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (*ENDS, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, Row]:
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if (method, parts.path) == ("GET", "/rows-get"):
            return 200, {"rows": self._range(query), "HasMore": False, **self._now()}
        if (method, parts.path) == ("GET", "/rows-feed"):
            return await self._feed(query)
        if (method, parts.path) == ("POST", "/rows-tx"):
            return self._transact(json.loads(body))
        if (method, parts.path) == ("POST", "/promote"):
            return self._promote(headers, json.loads(body)), {}
        return 404, {}

    def _now(self) -> Row:
        return {"Ver": self._version, "NowMs": round(1000 * time.monotonic())}

    def _row(self, name: Name) -> Row:
        value, version = self.rows[name]
        encoded = b64encode(value).decode()
        table, key = name
        return {
            "Table": table,
            "part": "",
            "Key": key,
            "Value": encoded,
            "Ver": version,
        }

    def _range(self, query: dict[str, str]) -> list[Row]:
        start, end = query.get("From", ""), query.get("To", "\U0010ffff")
        return [
            self._row(name)
            for name in sorted(self.rows)
            if name[0] == query["Table"] and start <= name[1] < end
        ]

    async def _feed(self, query: dict[str, str]) -> tuple[int, Row]:
        after, table = int(query["after"]), query["Table"]
        if after > self._version:
            return 410, self._now()
        until = time.monotonic() + int(query["WaitMs"]) / 1000
        while not (newer := self._newer(table, after)):
            left = until - time.monotonic()
            if left <= 0:
                break
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                break
        return 200, {"rows": newer, **self._now()}

    def _newer(self, table: str, after: int) -> list[Row]:
        rows = [
            self._row(name)
            for name, (_, version) in self.rows.items()
            if name[0] == table and version > after
        ]
        rows += [
            {"Table": table, "part": "", "Key": name[1], "Ver": at, "Tombstone": True}
            for name, at in self._removed.items()
            if name[0] == table and name not in self.rows and at > after
        ]
        return sorted(rows, key=lambda row: row["Ver"])

    def _transact(self, body: dict[str, list[Row]]) -> tuple[int, Row]:
        def name(row: Row) -> Name:
            return str(row["Table"]), str(row["Key"])

        expected = {name(row): row["Ver"] for row in body.get("ExpectedRev", ())}
        found = {key: self.rows.get(key, (b"", 0))[1] for key in expected}
        if found != expected:
            rows = [self._row(key) for key in expected if key in self.rows]
            return 412, {"rows": rows, **self._now()}
        self._version += 1
        for row in body.get("Remove", ()):
            if self.rows.pop(name(row), None) is not None:
                self._removed[name(row)] = self._version
        for row in body.get("Puts", ()):
            self.rows[name(row)] = (b64decode(str(row["Value"])), self._version)
        self._notify()
        return 200, self._now()

    def _promote(self, headers: dict[str, str], body: dict[str, str]) -> int:
        token = int(headers["jackdawspread-fencing-token"])
        service = body["Service"]
        if token < self.tokens.get(service, 0):
            return 409
        self.tokens[service] = token
        return self.promote(service, body["Id"])


class Group:
    """Members that replicate one log; a commit waits for one replica."""

    def __init__(self, name: str, store: Store) -> None:
        self.name = name
        self.store = store
        self.term = 1
        self.leader: Member | None = None
        self.members: list[Member] = []
        self.changed = asyncio.Event()
        # Everything that ran: time, member, tenant, id and text.
        self.runs: list[tuple[float, str, str, str, str]] = []

    async def start(self, zones: tuple[str, ...], host: str) -> None:
        """Start one member in each zone, the first one as the primary."""
        for number, zone in enumerate(zones):
            member = Member(f"i-{self.name}-{number}", zone, self)
            await member.start(host)
            self.members.append(member)
        self.leader = self.members[0]
        self.store.promote = self._promote
        for member in self.members:
            member.register()

    def notify(self) -> None:
        """Wake whoever waits for a change of a log or a role."""
        self.changed.set()
        self.changed = asyncio.Event()

    def _promote(self, service: str, id: str) -> int:
        found = [m for m in self.members if m.id == id and m.is_running]
        if service != self.name or not found:
            return 409
        if found[0] is not self.leader:
            asyncio.get_running_loop().call_later(PROMOTION_S, self._lead, found[0])
        return 200

    def _lead(self, member: "Member") -> None:
        if member is self.leader or not member.is_running:
            return
        self.term += 1
        self.leader = member
        for other in self.members:
            other.paused_term = 0
            other.register()
        self.notify()


class Member:
    """One member of a group."""

    def __init__(self, id: str, zone: str, group: Group) -> None:
        self.id, self.zone, self.group = id, zone, group
        # Term, id of the statement and data of each commit.
        self.log: list[tuple[int, tuple[str, ...], dict[str, str]]] = []
        self.paused_term = 0
        self.is_running = True
        self.address = ""
        self._seq = 0
        self._connections: set[asyncio.StreamWriter] = set()
        self._tasks: list[asyncio.Task] = []

    @property
    def end(self) -> tuple[int, int]:
        """Term and number of the last commit."""
        return (self.log[-1][0] if self.log else 1, len(self.log))

    @property
    def items(self) -> dict[str, str]:
        """Data of all items."""
        merged: dict[str, str] = {}
        for _, _, writes in self.log:
            merged.update(writes)
        return merged

    async def start(self, host: str) -> None:
        """Listen, and keep receiving the primary's log."""
        server = await asyncio.start_server(self._serve, host, 0, limit=2**21)
        self._server = server
        self.address = "{}:{}".format(*server.sockets[0].getsockname()[:2])
        for run in (self._receive(), self._beat()):
            self._tasks.append(asyncio.create_task(run))

    async def crash(self) -> None:
        """End at once; the entry expires after three status report intervals."""
        self.is_running = False
        for task in self._tasks:
            task.cancel()
        self._server.close()
        for writer in self._connections:
            writer.transport.abort()
        await asyncio.sleep(3 * HEARTBEAT_S)
        self.group.store.remove("servers", self.id)

    def register(self) -> None:
        """Write the entry of the member."""
        if not self.is_running:
            return
        self._seq += 1
        self.group.store.put(
            "servers",
            self.id,
            {
                "Service": self.group.name,
                "Address": self.address,
                "Zone": self.zone,
                "Version": "v1",
                "Slots": 4,
                "State": "ready",
                "ColdRemainingMs": 0,
                "DbRole": "primary" if self.group.leader is self else "replica",
                "Seq": self._seq,
                "born": 1765000000000,
            },
        )

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.register()

    async def _receive(self) -> None:
        while True:
            leader, changed = self.group.leader, self.group.changed
            if (
                leader is not None
                and leader is not self
                and leader.is_running
                and not self.paused_term
                and self.log != leader.log
            ):
                await asyncio.sleep(REPLICATION_S)
                if self.group.leader is leader and not self.paused_term:
                    self.log = list(leader.log)
                    self.group.notify()
                continue
            await changed.wait()

    async def commit(self, ids: tuple[str, ...], writes: dict[str, str]) -> bool:
        """Append a commit; return whether a replica has received it."""
        term = self.group.term
        self.log.append((term, ids, writes))
        entry, number = self.log[-1], len(self.log)
        self.group.notify()
        while self.group.leader is self and self.group.term == term:
            others = [m for m in self.group.members if m is not self and m.is_running]
            if any(entry in other.log[number - 1 : number] for other in others):
                return True
            await self.group.changed.wait()
        return False

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._connections.add(writer)
        session = MemberSession(self)
        try:
            while line := await reader.readuntil(b"\r\n"):
                answer = await session.answer(line[:-2].decode("latin-1"))
                writer.write("".join(f"{x}\r\n" for x in answer).encode("latin-1"))
                await writer.drain()
                if session.is_over:
                    return
        except (*ENDS, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()


class MemberSession:
    """Answers the lines of one connection to a member."""

    def __init__(self, member: Member) -> None:
        self._member, self._group = member, member.group
        self.tenant = ""
        self.is_over = False
        self._phase = "I"
        # Term of the lead on which a plain transaction relies; 0 outside of one.
        self._term = 0
        self._ids: tuple[str, ...] = ()
        self._writes: dict[str, str] = {}
        self._names: dict[str, tuple[str, str]] = {}

    async def answer(self, line: str) -> list[str]:
        """Return the lines of the answer."""
        word, _, rest = line.partition(" ")
        if word == "START":
            service, self.tenant, *expected = rest.split(" ")
            if service != self._group.name or expected not in ([], [self._member.id]):
                self.is_over = True
                return [f"ERR MISROUTED {self._member.id}"]
            return [self._ready()]
        if word != "QUERY":
            self.is_over = True
            return []
        id, _, text = rest.partition(" ")
        if text.startswith("AFTER "):
            position, _, text = text[6:].partition(" ")
            term, _, number = position.partition(".")
            if (int(term), int(number)) > self._member.end:
                return [f"ERR LAGGING {self._member.id}", self._ready()]
        if id != "-":
            now = time.monotonic()
            run = (now, self._member.id, self.tenant, id, text)
            self._group.runs.append(run)
        result = await self._run(id, text)
        return [] if self.is_over else [*result, self._ready()]

    def _ready(self) -> str:
        return "READY {} {}.{}".format(self._phase, *self._member.end)

    def _error(self, code: str) -> list[str]:
        if self._phase == "T":
            self._phase = "E"
        return [f"ERR {code} {self._member.id}"]

    async def _run(self, id: str, text: str) -> list[str]:
        member = self._member
        word, _, rest = text.partition(" ")
        leads = self._group.leader is member
        if word in ("STATUS", "PAUSE", "RESUME", "DEMOTE"):
            return self._control(word, rest)
        if self._phase == "E" and word not in ("ROLLBACK", "COMMIT"):
            return self._error("MALFORMED")
        ends_unwritten = word == "COMMIT" and not self._writes
        lost_lead = self._term and not (leads and self._group.term == self._term)
        if lost_lead and not ends_unwritten and word != "ROLLBACK":
            return self._error("READONLY")
        if word == "RESET":
            self._names = {}
        elif word == "PREPARE":
            name, mode, shape = rest.split(" ", 2)
            self._names[name] = (mode, shape)
        elif word == "BEGIN":
            if rest != "READ" and not leads:
                return self._error("READONLY")
            self._phase = "T"
            self._term = 0 if rest == "READ" else self._group.term
        elif word == "ROLLBACK" or (word == "COMMIT" and self._phase == "E"):
            self._end()
        elif word == "READ":
            value = {**member.items, **self._writes}.get(rest, "none")
            return [f"ROW {value}", f"DONE proof-{member.id}-{id}"]
        elif word == "WRITE":
            if not leads:
                return self._error("READONLY")
            item, _, data = rest.partition(" ")
            self._writes[item], self._ids = data, (*self._ids, id)
            if self._phase == "I":
                await self._commit()
        elif word == "COMMIT":
            await self._commit()
        elif word == "EXEC":
            name, _, arguments = rest.partition(" ")
            if name not in self._names:
                return self._error("NOSTMT")
            return await self._run(id, f"{self._names[name][0]} {arguments}")
        elif word not in ("SET", "FORGET"):
            return self._error("MALFORMED")
        return [f"DONE proof-{member.id}-{id}"]

    async def _commit(self) -> None:
        ids, writes = self._ids, self._writes
        self._end()
        if writes and not await self._member.commit(ids, writes):
            # The outcome is not known, so no answer is given.
            self.is_over = True

    def _control(self, word: str, rest: str) -> list[str]:
        member, group = self._member, self._group
        if word == "PAUSE" and int(rest) > group.term:
            member.paused_term = max(member.paused_term, int(rest))
        elif word == "RESUME":
            member.paused_term = 0
            group.notify()
        elif word == "DEMOTE" and group.leader is member and int(rest) > group.term:
            group.leader = None
            member.register()
            group.notify()
        role = "primary" if group.leader is member else "replica"
        position = "{}.{}".format(*member.end)
        row = f"ROW {role} {group.term} {position} {member.paused_term} 0 0 1"
        return [row, "DONE -"]

    def _end(self) -> None:
        self._phase, self._term = "I", 0
        self._ids, self._writes = (), {}


class Client:
    """Session of a client."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader, self._writer = reader, writer

    @classmethod
    async def open(cls, address: str, database: str, key: str) -> "Client | None":
        """Start a session; None if it is refused."""
        host, port = address.rsplit(":", 1)
        try:
            client = cls(*await asyncio.open_connection(host, int(port)))
        except OSError:
            return None
        client._writer.write(f"START {database} {key}\r\n".encode())
        try:
            line = await asyncio.wait_for(client._line(), 2.0)
        except TimeoutError:
            line = ""
        if line.startswith("READY"):
            return client
        client.close()
        return None

    async def query(self, id: str, text: str) -> list[str]:
        """Send a statement and return the lines of its answer."""
        self._writer.write(f"QUERY {id} {text}\r\n".encode("latin-1"))
        lines: list[str] = []
        while not lines or (lines[-1] and not lines[-1].startswith("READY")):
            lines.append(await self._line())
        return lines

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    async def _line(self) -> str:
        try:
            return (await self._reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
        except ENDS:
            return ""
