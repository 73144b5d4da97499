"""Polls the primary for log entries."""

from itertools import count
from typing import Any

from trio import (
    CancelScope,
    MemoryReceiveChannel,
    MemorySendChannel,
    Nursery,
    current_time,
    open_memory_channel,
    open_nursery,
    sleep,
)

from jackdawspread.messages.http_call import HttpCall
from jackdawspread.messages.http_outcome import HttpOutcome
from jackdawspread.standins.member.events.fetch_request import FetchRequest
from jackdawspread.standins.member.events.fetch_result import FetchResult
from jackdawspread.tasks.http_client_connection import HttpClientConnection

ANSWER_GRACE_S = 0.5
# Keeps a replica from polling without pause an address that refuses it.
RETRY_PAUSE_S = 0.02


class ReplicaFetcher:
    """Carries out one poll at a time towards one primary.

    Parameters
    ----------
    name : str
        Name of the replica.
    address : str
        ``IP:port`` of the primary.
    orders : trio.MemoryReceiveChannel
        Polls to make.
    outcomes : trio.MemorySendChannel
        Takes one `FetchResult` for each order.
    """

    def __init__(
        self,
        name: str,
        address: str,
        orders: MemoryReceiveChannel[FetchRequest],
        outcomes: MemorySendChannel[Any],
    ) -> None:
        self._name = name
        self._address = address
        self._orders = orders
        self._outcomes = outcomes
        self._ids = count(1)
        self._calls: MemorySendChannel[HttpCall] | None = None
        self.scope = CancelScope()

    async def run(self) -> None:
        """Poll until `scope` is cancelled."""
        with self.scope:
            async with open_nursery() as nursery:
                async for order in self._orders:
                    outcome = await self._poll(order, nursery)
                    if outcome.error:
                        self._calls = None
                    if outcome.status != 200:
                        await sleep(RETRY_PAUSE_S)
                    await self._outcomes.send(
                        FetchResult(order, outcome.status, outcome.body)
                    )

    async def _poll(self, order: FetchRequest, nursery: Nursery) -> HttpOutcome:
        if self._calls is None:
            self._calls, inbox = open_memory_channel[HttpCall](1)
            connection = HttpClientConnection(next(self._ids), self._address, inbox)
            nursery.start_soon(connection.run)
        send, outcomes = open_memory_channel[HttpOutcome](1)
        body = {**order._asdict(), "name": self._name}
        deadline = current_time() + order.wait_ms / 1000 + ANSWER_GRACE_S
        call = HttpCall(next(self._ids), "POST", "/replicate", body, deadline, send)
        await self._calls.send(call)
        return await outcomes.receive()
