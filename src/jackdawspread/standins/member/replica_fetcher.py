"""Task that fetches log entries from the primary."""

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
# Keeps a replica from sending requests without delay to an address that refuses it.
RETRY_DELAY_S = 0.02


class ReplicaFetcher:
    """Sends one fetch at a time to one primary.

    Parameters
    ----------
    name : str
        Name of the replica.
    address : str
        ``IP:port`` of the primary.
    requests : trio.MemoryReceiveChannel
        Fetches to make.
    results : trio.MemorySendChannel
        Channel to which one `FetchResult` is sent for each request.
    """

    def __init__(
        self,
        name: str,
        address: str,
        requests: MemoryReceiveChannel[FetchRequest],
        results: MemorySendChannel[Any],
    ) -> None:
        self._name = name
        self._address = address
        self._requests = requests
        self._results = results
        self._ids = count(1)
        self._calls: MemorySendChannel[HttpCall] | None = None
        self.scope = CancelScope()

    async def run(self) -> None:
        """Fetch on request until `scope` is cancelled."""
        with self.scope:
            async with open_nursery() as nursery:
                async for request in self._requests:
                    outcome = await self._fetch(request, nursery)
                    if outcome.error:
                        self._calls = None
                    if outcome.status != 200:
                        await sleep(RETRY_DELAY_S)
                    await self._results.send(
                        FetchResult(request, outcome.status, outcome.body)
                    )

    async def _fetch(self, request: FetchRequest, nursery: Nursery) -> HttpOutcome:
        if self._calls is None:
            self._calls, inbox = open_memory_channel[HttpCall](1)
            connection = HttpClientConnection(next(self._ids), self._address, inbox)
            nursery.start_soon(connection.run)
        send, outcomes = open_memory_channel[HttpOutcome](1)
        body = {**request._asdict(), "name": self._name}
        deadline = current_time() + request.wait_ms / 1000 + ANSWER_GRACE_S
        call = HttpCall(next(self._ids), "POST", "/replicate", body, deadline, send)
        await self._calls.send(call)
        return await outcomes.receive()
