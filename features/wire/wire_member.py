"""Stand-in for one member that serves the wire protocol."""

from itertools import count

from features.wire.executed_statement import ExecutedStatement
from features.wire.wire_group import WireGroup
from trio import (
    BrokenResourceError,
    CancelScope,
    ClosedResourceError,
    SocketListener,
    SocketStream,
    open_nursery,
    sleep_forever,
)

SIGNATURE = "7.1f3.c"
READ_CHUNK_BYTES = 64 * 1024
_IDS = count(1)


class WireMember:
    """Accepts connections and runs statements on the group's items."""

    def __init__(self, id: str, group: WireGroup, listener: SocketListener) -> None:
        self.id = id
        self.group = group
        self._listener = listener
        self._scope = CancelScope()
        self.accepted = 0
        self.open_transactions = 0

    async def run(self) -> None:
        """Serve until the member is killed."""
        with self._scope:
            async with open_nursery() as connections:
                while True:
                    stream = await self._listener.accept()
                    self.accepted += 1
                    connections.start_soon(self._serve, stream)
        await self._listener.aclose()

    def kill(self) -> None:
        """Close all sockets; the group no longer lists the member."""
        self.group.dead.add(self.id)
        self._scope.cancel()

    async def _serve(self, stream: SocketStream) -> None:
        session = _MemberSession(self, next(_IDS))
        buffer = bytearray()
        try:
            while data := await stream.receive_some(READ_CHUNK_BYTES):
                buffer += data
                # Large statements are split only once they are complete.
                if not data.endswith(b"\n"):
                    continue
                *lines, buffer = buffer.split(b"\r\n")
                for line in lines:
                    answer = session.answer(line.decode("latin-1"))
                    if self.group.is_silent:
                        await sleep_forever()
                    await stream.send_all("".join(answer).encode("latin-1"))
                    if session.is_over:
                        return
        except (BrokenResourceError, ClosedResourceError):
            return
        finally:
            session.leave()
            await stream.aclose()


class _MemberSession:
    def __init__(self, member: WireMember, number: int) -> None:
        self._member = member
        self._group = member.group
        self._number = number
        self._workspace = ""
        self._values: dict[str, str] = {}
        self._templates: dict[str, str] = {}
        self._writes: dict[str, str] = {}
        self._state = "I"
        self._requires_primary = False
        self.is_over = False

    def leave(self) -> None:
        """Leave the open transaction, if there is one."""
        if self._state != "I":
            self._member.open_transactions -= 1
        self._state, self._requires_primary, self._writes = "I", False, {}

    def answer(self, line: str) -> list[str]:
        word, _, rest = line.partition(" ")
        if word == "START":
            fields = rest.split(" ")
            self._workspace = fields[1]
            if fields[2:] != [self._member.id]:
                self.is_over = True
                return ["ERR MISROUTED wrong id\r\n"]
            return [f"READY I {self._group.position}\r\n"]
        id, _, text = rest.partition(" ")
        if text.startswith("AFTER "):
            _, _, text = text[6:].partition(" ")
        result = self._run(id, text)
        if self.is_over:
            return []
        return [*result, f"READY {self._state} {self._group.position}\r\n"]

    def _run(self, id: str, text: str) -> list[str]:
        word, _, rest = text.partition(" ")
        is_primary = self._group.primary == self._member.id
        if self._requires_primary and not is_primary and word != "ROLLBACK":
            self._state = "E"
            return ["ERR READONLY no longer the primary\r\n"]
        if word in ("STATUS", "PAUSE", "RESUME", "DEMOTE"):
            role = "primary" if is_primary else "replica"
            group = self._group
            if word in ("PAUSE", "RESUME"):
                group.paused_by_member[self._member.id] = int(rest or 0)
            paused_term = group.paused_by_member.get(self._member.id, 0)
            row = f"ROW {role} {group.term} {group.position} {paused_term} 0 0 1\r\n"
            return [row, "DONE -\r\n"]
        if word == "RESET":
            self._values, self._templates = {}, {}
        elif word == "SET" and self._group.refused_values:
            self._group.refused_values -= 1
            return ["ERR BUSY full\r\n"]
        elif word == "SET":
            name, _, value = rest.partition(" ")
            self._values = {**self._values, name: value}
        elif word == "PREPARE":
            name, _, template = rest.partition(" ")
            self._templates[name] = template
        elif word == "BEGIN":
            if rest != "READ" and not is_primary:
                return ["ERR READONLY not the primary\r\n"]
            self._state, self._requires_primary = "T", rest != "READ"
            self._member.open_transactions += 1
        elif word == "ROLLBACK":
            self.leave()
        else:
            return self._run_item(id, text, is_primary)
        return ["DONE -\r\n"]

    def _run_item(self, id: str, text: str, is_primary: bool) -> list[str]:
        word, _, rest = text.partition(" ")
        if word == "EXEC":
            name, _, rest = rest.partition(" ")
            if name not in self._templates:
                return ["ERR NOSTMT\r\n"]
            word = self._templates[name].partition(" ")[0]
        in_transaction = self._state == "T"
        if self._group.refuse_with and word in ("WRITE", "COMMIT"):
            return [f"ERR {self._group.refuse_with}\r\n"]
        if word == "WRITE" and not is_primary:
            return ["ERR READONLY not the primary\r\n"]
        run = ExecutedStatement(
            self._member.id,
            self._number,
            id,
            text,
            self._values,
            in_transaction,
            self._workspace,
        )
        self._group.runs.append(run)
        if word == "READ":
            value = {**self._group.item_by_name, **self._writes}.get(rest, "none")
            return [f"ROW {value}\r\n", f"DONE {SIGNATURE}\r\n"]
        if word == "WRITE":
            item, _, data = rest.partition(" ")
            self._writes[item] = data
            if in_transaction:
                return [f"DONE {SIGNATURE}\r\n"]
        return self._commit()

    def _commit(self) -> list[str]:
        if self._writes:
            self._group.commit(self._writes)
        self.leave()
        if self._group.lose_answers:
            self._group.lose_answers -= 1
            self.is_over = True
        return [f"DONE {SIGNATURE}\r\n"]
