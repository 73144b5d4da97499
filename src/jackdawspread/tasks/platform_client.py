"""Client of the platform."""

from trio import (
    MemoryReceiveChannel,
    MemorySendChannel,
    current_time,
    open_nursery,
)

from jackdawspread.messages.platform_call import PlatformCall
from jackdawspread.messages.platform_outcome import PlatformOutcome
from jackdawspread.tasks.http_client import HttpClient


class PlatformClient:
    """Makes the calls of its inbox in order, over one connection at a time.

    Every call gets exactly one outcome within its deadline. The connection of a
    failed call is not used again, so a late answer reaches nobody.

    Parameters
    ----------
    address : str
        ``IP:port`` of the platform.
    timeout : float
        Seconds that one call may take.
    inbox : trio.MemoryReceiveChannel
        Calls to make.
    outcomes : trio.MemorySendChannel
        Takes the outcomes; the client waits while it is full.
    """

    def __init__(
        self,
        address: str,
        timeout: float,
        inbox: MemoryReceiveChannel[PlatformCall],
        outcomes: MemorySendChannel[PlatformOutcome],
    ) -> None:
        self._address = address
        self._timeout = timeout
        self._inbox = inbox
        self._outcomes = outcomes

    async def run(self) -> None:
        """Make calls until cancelled or the inbox closes."""
        async with open_nursery() as nursery:
            client = HttpClient(self._address, nursery)
            async for call in self._inbox:
                deadline = current_time() + self._timeout
                outcome = await client.call(
                    "POST", call.target, dict(call.body), deadline
                )
                await self._outcomes.send(
                    PlatformOutcome(call.id, outcome.status, outcome.body, outcome.sent)
                )
            client.close()
