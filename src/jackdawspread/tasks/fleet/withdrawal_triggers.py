"""Triggers the withdrawal of promotion requests that are left outstanding."""

from collections.abc import Callable
from zlib import crc32

from absl import logging
from trio import MemorySendChannel, WouldBlock, sleep

from jackdawspread.messages.fleet.failover_event import FailoverEvent
from jackdawspread.messages.fleet.failover_trigger import FailoverTrigger

# An attempt that is in progress usually ends within this time.
FIRST_DELAY_S = 0.3
# The first triggers of the instances are spread over this time, as one of them begins a
# withdrawal that the others learn of.
SPREAD_S = 1.5
INTERVAL_S = 1.0


class WithdrawalTriggers:
    """Sends triggers for groups whose primary stays while requests are outstanding.

    Used by the acknowledgement task.

    Parameters
    ----------
    instance : str
        Id of this instance.
    failover : trio.MemorySendChannel
        Inbox of the failover task, which runs one attempt a group at a time.
    find_primary : callable
        Returns the primary of a group if requests to promote other members are to be
        withdrawn, else an empty text.
    """

    def __init__(
        self,
        instance: str,
        failover: MemorySendChannel[FailoverEvent],
        find_primary: Callable[[str], str],
    ) -> None:
        self._instance = instance
        self._failover = failover
        self._find_primary = find_primary
        self._groups: set[str] = set()

    def begin(self, group: str) -> bool:
        """Whether to start `run` for a group, which is not running yet."""
        if group in self._groups:
            return False
        self._groups.add(group)
        return True

    async def run(self, group: str) -> None:
        """Send triggers until no request has to be withdrawn."""
        try:
            share = crc32(f"{self._instance} {group}".encode()) / 2**32
            await sleep(FIRST_DELAY_S + SPREAD_S * share)
            while primary := self._find_primary(group):
                self._send(group, primary)
                await sleep(INTERVAL_S)
        finally:
            self._groups.discard(group)

    def _send(self, group: str, primary: str) -> None:
        trigger = FailoverTrigger(
            group,
            primary,
            False,
            False,
            "requests outstanding",
            withdraws_requests=True,
            fences_acknowledgements=True,
        )
        try:
            self._failover.send_nowait(trigger)
        except WouldBlock:
            logging.vlog(1, "acknowledgements: trigger dropped group=%s", group)
