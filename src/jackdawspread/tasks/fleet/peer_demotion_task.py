"""Requests between instances to demote a primary."""

from functools import partial, singledispatchmethod
from itertools import count

from absl import logging
from trio import (
    MemoryReceiveChannel,
    MemorySendChannel,
    Nursery,
    WouldBlock,
    current_time,
    open_nursery,
)

from jackdawspread.decisions.failover.primary_demotion import shows_demotion
from jackdawspread.messages.fleet.demote_through_peers import DemoteThroughPeers
from jackdawspread.messages.fleet.log_status import LogStatus
from jackdawspread.messages.fleet.peer_datagram import PeerDatagram
from jackdawspread.messages.fleet.peer_demotion_event import PeerDemotionEvent
from jackdawspread.messages.fleet.peer_event import PeerEvent
from jackdawspread.messages.fleet.primary_demotion_reply import PrimaryDemotionReply
from jackdawspread.messages.fleet.primary_demotion_request import (
    PrimaryDemotionRequest,
)
from jackdawspread.messages.fleet.primary_demotion_requested import (
    PrimaryDemotionRequested,
)
from jackdawspread.messages.fleet.send_datagram import SendDatagram
from jackdawspread.tasks.boot_clock import seconds_since_boot
from jackdawspread.tasks.fleet.peer_demotion_executor import PeerDemotionExecutor
from jackdawspread.tasks.run_isolated import call_isolated, run_isolated

# Further requests are refused, so that datagrams can't start tasks without a limit.
MAX_EXECUTIONS = 32


class PeerDemotionTask:
    """Owns the requests that await a reply, and executes those of other instances.

    Parameters
    ----------
    executor : PeerDemotionExecutor
        Demotes primaries on behalf of other instances.
    inbox : trio.MemoryReceiveChannel
        Commands of this instance, requests of others and their replies.
    peers : trio.MemorySendChannel
        Inbox of the peers task.
    """

    def __init__(
        self,
        executor: PeerDemotionExecutor,
        inbox: MemoryReceiveChannel[PeerDemotionEvent],
        peers: MemorySendChannel[PeerEvent],
    ) -> None:
        self._executor = executor
        self._inbox = inbox
        self._peers = peers
        # A restarted process must not use the ids of its predecessor.
        self._ids = count(round(1000 * seconds_since_boot()))
        self._command_by_id: dict[int, DemoteThroughPeers] = {}

    async def run(self) -> None:
        """Handle events until cancelled."""
        async with open_nursery() as executions:
            async for event in self._inbox:
                call_isolated("succession", self._handle, event, executions)

    @singledispatchmethod
    def _handle(self, event: object, executions: Nursery) -> None:
        raise TypeError(f"no demotion event of type {type(event).__name__}")

    @_handle.register
    def _(self, event: DemoteThroughPeers, executions: Nursery) -> None:
        now = current_time()
        self._command_by_id = {
            id: command
            for id, command in self._command_by_id.items()
            if command.expires_at > now
        }
        for address in event.addresses:
            id = next(self._ids)
            self._command_by_id[id] = event
            request = PrimaryDemotionRequest(id, event.group, event.member, event.term)
            self._send(request, address)

    @_handle.register
    def _(self, event: PrimaryDemotionReply, executions: Nursery) -> None:
        command = self._command_by_id.pop(event.id, None)
        if command is None:
            return
        if shows_demotion(event.status, command.member):
            self._end(command, event.status)
        elif all(other is not command for other in self._command_by_id.values()):
            self._end(command, None)

    @_handle.register
    def _(self, event: PrimaryDemotionRequested, executions: Nursery) -> None:
        if len(executions.child_tasks) >= MAX_EXECUTIONS:
            self._send(PrimaryDemotionReply(event.request.id, None), event.peer)
            return
        execute = partial(self._execute, event)
        executions.start_soon(run_isolated, "succession", execute)

    async def _execute(self, event: PrimaryDemotionRequested) -> None:
        status = await self._executor.run(event.request)
        self._send(PrimaryDemotionReply(event.request.id, status), event.peer)

    def _end(self, command: DemoteThroughPeers, status: LogStatus | None) -> None:
        """Give the result to the attempt; further replies are not awaited."""
        self._command_by_id = {
            id: other
            for id, other in self._command_by_id.items()
            if other is not command
        }
        command.reply_to.send_nowait(status)

    def _send(self, message: PeerDatagram, address: str) -> None:
        try:
            self._peers.send_nowait(SendDatagram(message, address))
        except WouldBlock:
            logging.warning(
                "succession: %s not sent, the peers inbox is full",
                type(message).__name__,
            )
