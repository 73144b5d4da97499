"""Client of the platform's table service."""

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
    """Sends the calls of its inbox in order, over one connection at a time.

    Every call has exactly one outcome, within its deadline. The connection of a
    failed call is not used again, so a late response is discarded.

    Parameters
    ----------
    address : str
        ``IP:port`` of the platform.
    timeout : float
        Seconds that one call may take.
    inbox : trio.MemoryReceiveChannel
        Calls to send.
    outcomes : trio.MemorySendChannel
        Channel for the outcomes; the client waits while it is full.
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
        """Send calls until cancelled or the inbox closes."""
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
