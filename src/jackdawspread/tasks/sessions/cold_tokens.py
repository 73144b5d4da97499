"""Waits for the tokens that statements for cold members need."""

from absl import logging
from trio import (
    MemorySendChannel,
    WouldBlock,
    current_time,
    open_memory_channel,
    sleep_until,
)

from jackdawspread.messages.fleet.admission_event import AdmissionEvent
from jackdawspread.messages.fleet.cold_token_request import ColdTokenRequest
from jackdawspread.messages.fleet.member_lease import MemberLease

# Statements that wait for longer keep a connection of the member from others.
MAX_WAIT_S = 0.3
# Keeps a wait of 0 from becoming a busy loop.
MIN_RETRY_DELAY_S = 0.01


async def wait_for_cold_token(
    admission: MemorySendChannel[AdmissionEvent], lease: MemberLease, deadline: float
) -> bool:
    """Wait until one statement may be sent to a cold member; return whether it may.

    A token is to be used at once, as the rate holds at the time of sending.
    ``deadline`` is in monotonic seconds.
    """
    give_up_at = min(deadline, current_time() + MAX_WAIT_S)
    while True:
        send, receive = open_memory_channel[float | None](1)
        try:
            admission.send_nowait(ColdTokenRequest(lease.group, lease.member, send))
        except WouldBlock:
            logging.warning("session: admission inbox full")
            return False
        with receive:
            wait_s = await receive.receive()
        if wait_s is None:
            return True
        retry_at = current_time() + max(wait_s, MIN_RETRY_DELAY_S)
        if retry_at > give_up_at:
            return False
        await sleep_until(retry_at)
