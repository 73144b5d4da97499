"""Registration of this instance in the platform's instance list."""

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

REGISTRATION_INTERVAL_S = 10.0
RETRY_DELAY_S = 1.0
CALL_TIMEOUT_S = 1.0


class InstanceRegistration:
    """Keeps this instance's entry in the platform's instance list up to date.

    Only the load balancer uses the list.

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
        """Register as live until stopping, then as leaving until that succeeds."""
        while True:
            state = "leaving" if stopping.is_set() else "live"
            done = await self._register(state)
            if done and stopping.is_set():
                return
            if stopping.is_set():
                await sleep(RETRY_DELAY_S)
                continue
            with move_on_after(REGISTRATION_INTERVAL_S if done else RETRY_DELAY_S):
                await stopping.wait()

    async def _register(self, state: str) -> bool:
        outcomes, outcome_inbox = open_memory_channel[HttpOutcome](1)
        calls, call_inbox = open_memory_channel[HttpCall](1)
        body = self._listing._replace(state=state)._asdict()
        deadline = current_time() + CALL_TIMEOUT_S
        call = HttpCall(next(self._ids), "POST", "/instances", body, deadline, outcomes)
        connection = HttpClientConnection(call.id, self._platform_address, call_inbox)
        async with open_nursery() as nursery, calls:
            nursery.start_soon(connection.run)
            calls.send_nowait(call)
            outcome = await outcome_inbox.receive()
        if outcome.status != 200:
            logging.warning(
                "platform: registration failed state=%s reason=%s",
                state,
                outcome.error or outcome.status,
            )
        return outcome.status == 200
