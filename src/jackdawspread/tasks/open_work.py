"""Waits at a graceful shutdown for the work in progress at the owners."""

from collections.abc import Iterable

from absl import logging
from trio import MemorySendChannel, move_on_after, open_memory_channel, sleep

from jackdawspread.decisions.owner.transaction_check import MAX_TRANSACTION_SECONDS
from jackdawspread.messages.open_work_query import OpenWorkQuery
from jackdawspread.tasks.database_owner import OwnerEvent

STOP_POLL_INTERVAL_S = 0.1


async def wait_for_open_work(owners: Iterable[MemorySendChannel[OwnerEvent]]) -> None:
    """Wait until no owner has a transaction or a request.

    No transaction lasts longer than `MAX_TRANSACTION_SECONDS`, and neither does the
    wait: peers that don't know of the shutdown may go on forwarding requests.

    Parameters
    ----------
    owners : iterable of trio.MemorySendChannel
        Inboxes of the owners, whose ownership was transferred.
    """
    with move_on_after(MAX_TRANSACTION_SECONDS) as scope:
        for owner in owners:
            while await _has_open_work(owner):
                await sleep(STOP_POLL_INTERVAL_S)
    if scope.cancelled_caught:
        logging.warning("owner: work was still in progress at the exit")


async def _has_open_work(owner: MemorySendChannel[OwnerEvent]) -> bool:
    send, receive = open_memory_channel[bool](1)
    await owner.send(OpenWorkQuery(send))
    return await receive.receive()
