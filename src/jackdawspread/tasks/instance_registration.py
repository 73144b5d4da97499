"""Registration of this instance with the platform."""

from itertools import count

from absl import logging
from trio import (
    Event,
    current_time,
    move_on_after,
    open_memory_channel,
    open_nursery,
    sleep,
)

from jackdawspread.messages.http_call import HttpCall
from jackdawspread.messages.http_outcome import HttpOutcome
from jackdawspread.messages.instance_listing import InstanceListing
from jackdawspread.tasks.http_client_connection import HttpClientConnection

REPEAT_S = 10.0
RETRY_S = 1.0
CALL_S = 1.0


class InstanceRegistration:
    """Keeps the platform's list informed; the list only steers the balancer.

    Parameters
    ----------
    platform_address : str
        ``IP:port`` of the platform.
    listing : InstanceListing
        Entry of this instance.
    """

    def __init__(self, platform_address: str, listing: InstanceListing) -> None:
        self._platform_address = platform_address
        self._listing = listing
        self._ids = count(1)

    async def run(self, stopping: Event) -> None:
        """Register as live until stopping, then as leaving until cancelled."""
        while True:
            state = "leaving" if stopping.is_set() else "live"
            done = await self._register(state)
            if done and stopping.is_set():
                return
            if stopping.is_set():
                await sleep(RETRY_S)
                continue
            with move_on_after(REPEAT_S if done else RETRY_S):
                await stopping.wait()

    async def _register(self, state: str) -> bool:
        outcomes, outcome_inbox = open_memory_channel[HttpOutcome](1)
        calls, call_inbox = open_memory_channel[HttpCall](1)
        body = self._listing._replace(state=state)._asdict()
        deadline = current_time() + CALL_S
        call = HttpCall(next(self._ids), "POST", "/instances", body, deadline, outcomes)
        connection = HttpClientConnection(call.id, self._platform_address, call_inbox)
        async with open_nursery() as nursery, calls:
            nursery.start_soon(connection.run)
            calls.send_nowait(call)
            outcome = await outcome_inbox.receive()
        if outcome.status != 200:
            logging.warning(
                "platform: could not register state=%s reason=%s",
                state,
                outcome.error or outcome.status,
            )
        return outcome.status == 200
