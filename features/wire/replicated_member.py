"""Stand-in for one member that has a log of its own."""

from __future__ import annotations

from typing import TYPE_CHECKING

from features.wire.connection_origin import connection_origin
from features.wire.replicated_log import ReplicatedLog
from features.wire.replicated_session import ReplicatedSession
from trio import (
    BrokenResourceError,
    CancelScope,
    ClosedResourceError,
    SocketListener,
    SocketStream,
    current_time,
    open_nursery,
    sleep,
)

if TYPE_CHECKING:
    from features.wire.replicated_group import ReplicatedGroup

READ_CHUNK_BYTES = 64 * 1024
REPLICATION_S = 0.002


class ReplicatedMember:
    """Serves the wire protocol, and receives the log of the primary as a replica."""

    def __init__(
        self,
        id: str,
        group: ReplicatedGroup,
        listener: SocketListener,
        log: ReplicatedLog | None = None,
    ) -> None:
        self.id = id
        self.group = group
        self.log = log or ReplicatedLog()
        self.paused_term = 0
        self.is_leaving = False
        self.is_running = True
        self.connections = 0
        self.born = 1
        self.started_at = current_time()
        host, port = listener.socket.getsockname()[:2]
        self.address = f"{host}:{port}"
        self._listener = listener
        self._scope = CancelScope()

    @property
    def is_primary(self) -> bool:
        """Whether this member leads."""
        return self.group.leader is self

    async def run(self) -> None:
        """Serve and replicate until the member ends."""
        try:
            with self._scope:
                async with open_nursery() as tasks:
                    tasks.start_soon(self._receive_log)
                    while True:
                        stream = await self._listener.accept()
                        tasks.start_soon(self._serve, stream)
        finally:
            self._listener.socket.close()

    def end(self) -> None:
        """Close all sockets."""
        self.is_running = False
        self._scope.cancel()

    def pause(self, term: int) -> None:
        """Stop receiving if the term is above the newest one."""
        if term > self.group.term:
            self.paused_term = max(term, self.paused_term)

    def resume(self) -> None:
        """Receive again."""
        self.paused_term = 0
        self.group.notify()

    async def commit(self, ids: tuple[str, ...], writes: dict[str, str]) -> str | None:
        """Append a commit and return its position once enough replicas received it.

        The result is None if this member has lost the lead before.
        """
        group, term = self.group, self.group.term
        number = self.log.append(term, ids, writes)
        if not group.sync_replicas:
            group.asynchronous_ids.update(ids)
        group.notify()
        while True:
            if not self.is_primary or group.term != term:
                return None
            received = sum(
                other.log.holds(term, number)
                for other in group.running
                if other is not self and not self._is_cut_from(other)
            )
            if received >= group.sync_replicas or group.asynchronous_ids >= {*ids}:
                return f"{term}.{number}"
            await group.changed.wait()

    async def _receive_log(self) -> None:
        while True:
            changed = self.group.changed
            source = self.group.leader
            if source is not None and self._may_receive(source):
                await sleep(REPLICATION_S)
                await self.group.links.transfer(source.id, self.id)
                # A pause or a promotion may have come in the meantime.
                if source is self.group.leader and self._may_receive(source):
                    self.log.follow(source.log)
                    self.group.notify()
                continue
            await changed.wait()

    def _may_receive(self, source: ReplicatedMember) -> bool:
        return (
            source is not self
            and source.is_running
            and not self.paused_term
            and not self._is_cut_from(source)
            and self.log.differs(source.log)
        )

    def _is_cut_from(self, other: ReplicatedMember) -> bool:
        return self.group.links.is_silent(other.id, self.id)

    async def _serve(self, stream: SocketStream) -> None:
        links = self.group.links
        origin = connection_origin(stream, self.group.instance_by_pid)
        session = ReplicatedSession(self)
        buffer = bytearray()
        self.connections += 1
        try:
            while data := await stream.receive_some(READ_CHUNK_BYTES):
                buffer += data
                *lines, buffer = buffer.split(b"\r\n")
                for line in lines:
                    if not await links.transfer(origin, self.id):
                        return
                    answer = await session.answer(line.decode("latin-1"))
                    if not await links.transfer(self.id, origin):
                        return
                    await stream.send_all("".join(answer).encode("latin-1"))
                    if session.is_over:
                        return
        except (BrokenResourceError, ClosedResourceError):
            return
        finally:
            self.connections -= 1
            stream.socket.close()
