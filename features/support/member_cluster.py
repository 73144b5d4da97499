"""Member stand-ins in one process, without sockets."""

from itertools import count
from typing import Any

import trio
from msgspec import json

from jackdawspread.messages.http_outcome import HttpOutcome
from jackdawspread.messages.http_request import HttpRequest
from jackdawspread.standins.member.events.connection_lost import ConnectionLost
from jackdawspread.standins.member.events.connection_opened import ConnectionOpened
from jackdawspread.standins.member.events.fetch_request import FetchRequest
from jackdawspread.standins.member.events.submission import Submission
from jackdawspread.standins.member.member_codec import decode_member_request
from jackdawspread.standins.member.member_node import MemberNode
from jackdawspread.standins.member.member_options import MemberOptions
from jackdawspread.standins.member.replica_fetcher import (
    ANSWER_GRACE_S,
    ReplicaFetcher,
)
from jackdawspread.standins.schemas.schema_file import read_schema
from support.trio_thread import TrioThread

Reply = tuple[int, dict[str, Any]]


class MemberCluster:
    """Members a, b and c with one open connection to each.

    A call that is not answered within `answer_timeout_s` of mock time has status 0.
    """

    def __init__(self, answer_timeout_s: float = 0.7, **options: Any) -> None:
        self.trio = TrioThread()
        self.answer_timeout_s = answer_timeout_s
        self._ids = count(1)
        self._inbox_by_name: dict[str, trio.MemorySendChannel[Any]] = {}
        self.connection_by_name: dict[str, int] = {}
        schema = read_schema("saltbush")
        for name in "abc":
            self._start(MemberOptions(name, schema, **options))
            self.connection_by_name[name] = self.connect(name)

    def _start(self, options: MemberOptions) -> None:
        events, inbox = trio.open_memory_channel[Any](1000)
        self._inbox_by_name[options.name] = events
        cluster = self

        class InProcessFetcher(ReplicaFetcher):
            async def _fetch(
                self, request: FetchRequest, _: trio.Nursery
            ) -> HttpOutcome:
                body = {**request._asdict(), "name": self._name}
                wait = request.wait_ms / 1000 + ANSWER_GRACE_S
                connection = cluster.open(self._address)
                status, answer = await cluster.exchange(
                    self._address, connection, "/replicate", body, wait
                )
                cluster.send(self._address, ConnectionLost(connection))
                error = "" if status else "no answer in time"
                return HttpOutcome(1, 1, status, answer, True, error)

        async def run() -> None:
            await MemberNode(options, inbox, events, InProcessFetcher).run()

        self.trio.start(run)

    def send(self, name: str, event: object) -> None:
        """Send an event to a member; must be called within the event loop."""
        self._inbox_by_name[name].send_nowait(event)

    def open(self, name: str) -> int:
        """Open a connection; must be called within the event loop."""
        connection = next(self._ids)
        self.send(name, ConnectionOpened(connection))
        return connection

    async def exchange(
        self, name: str, connection: int, target: str, body: Any, wait: float
    ) -> Reply:
        """Make a call; must be called within the event loop."""
        request = HttpRequest("POST", target, {}, json.encode(body))
        decoded = decode_member_request(request)
        assert decoded.is_ok(), decoded
        reply_to, replies = trio.open_memory_channel(1)
        self.send(name, Submission(connection, decoded.ok, reply_to))
        with trio.move_on_after(wait):
            response = await replies.receive()
            return response.status, json.decode(response.body)
        return 0, {}

    def start_call(
        self, name: str, target: str, body: Any, connection: int | None = None
    ) -> list[Reply]:
        """Start a call; its reply is appended to the returned list."""
        replies: list[Reply] = []
        used = self.connection_by_name[name] if connection is None else connection

        async def run() -> None:
            replies.append(
                await self.exchange(name, used, target, body, self.answer_timeout_s)
            )

        self.trio.start(run)
        return replies

    def call(
        self, name: str, target: str, body: Any, connection: int | None = None
    ) -> Reply:
        """Make a call and advance the clock until it has ended."""
        replies = self.start_call(name, target, body, connection)
        return self.finish(replies)

    def finish(self, replies: list[Reply]) -> Reply:
        """Advance the clock until a call has ended."""
        for _ in range(round(self.answer_timeout_s / 0.005) + 2):
            if replies:
                return replies[0]
            self.trio.advance(0.005)
        raise AssertionError("the call did not end")

    def connect(self, name: str, instance: str = "proxy") -> int:
        """Open a connection under the name of an instance."""

        async def open_connection() -> int:
            return self.open(name)

        connection = self.trio.call(open_connection)
        status, body = self.call(name, "/connect", {"instance": instance}, connection)
        assert status == 200, body
        return connection

    def lose(self, name: str, connection: int) -> None:
        """Report the loss of a connection to its member."""

        async def lose() -> None:
            self.send(name, ConnectionLost(connection))

        self.trio.call(lose)

    def ok(self, name: str, target: str, body: Any) -> dict[str, Any]:
        """Make a call that must succeed and return its answer."""
        status, answer = self.call(name, target, body)
        assert status == 200, (name, target, status, answer)
        return answer

    def promote(self, name: str, term: int, others: str) -> None:
        """Promote a member in a term and let the others follow it."""
        for member in name + others:
            assert self.ok(member, "/prepare", {"term": term})["granted"]
        self.ok(name, "/open", {"term": term})
        for member in others:
            self.ok(member, "/follow", {"term": term, "address": name})
