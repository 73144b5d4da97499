"""Exchange of primaries' positions between pool hosts."""

from collections.abc import Sequence
from itertools import count

from absl import logging
from trio import MemorySendChannel, WouldBlock

from jackdawspread.decisions.members.primary_position_sample import (
    PrimaryPositionSample,
)
from jackdawspread.decisions.placement.position_requests import (
    needs_position,
    relayed_sample,
)
from jackdawspread.messages.fleet.peer_event import PeerEvent
from jackdawspread.messages.fleet.primary_position_reply import PrimaryPositionReply
from jackdawspread.messages.fleet.primary_position_request import (
    PrimaryPositionRequest,
)
from jackdawspread.messages.fleet.primary_position_requested import (
    PrimaryPositionRequested,
)
from jackdawspread.messages.fleet.send_datagram import SendDatagram
from jackdawspread.tasks.boot_clock import seconds_since_boot

# Replies to older requests are not awaited any more.
PENDING_REQUESTS = 32


class PositionExchange:
    """Asks pool hosts near the primary for its position; belongs to the router.

    Parameters
    ----------
    peers : trio.MemorySendChannel
        Inbox of the peers task.
    """

    def __init__(self, peers: MemorySendChannel[PeerEvent]) -> None:
        self._peers = peers
        # A restarted process must not use the ids of its predecessor.
        self._ids = count(round(1000 * seconds_since_boot()))
        self._asked_at_by_group: dict[str, float] = {}
        # Group and boot-time clock of each request, oldest first.
        self._request_by_id: dict[int, tuple[str, float]] = {}

    def ask_if_needed(
        self,
        group: str,
        samples: Sequence[PrimaryPositionSample],
        addresses: Sequence[str],
    ) -> None:
        """Ask one of the hosts at ``addresses``, another one each time."""
        now = seconds_since_boot()
        asked_at = self._asked_at_by_group.get(group, 0.0)
        if not addresses or not needs_position(samples, asked_at, now):
            return
        id = next(self._ids)
        self._asked_at_by_group[group] = now
        self._request_by_id[id] = (group, now)
        while len(self._request_by_id) > PENDING_REQUESTS:
            del self._request_by_id[next(iter(self._request_by_id))]
        request = PrimaryPositionRequest(id, group)
        self._send(SendDatagram(request, addresses[id % len(addresses)]))

    def answer(
        self,
        event: PrimaryPositionRequested,
        samples: Sequence[PrimaryPositionSample],
    ) -> None:
        """Reply with the newest position, if there is any."""
        if samples:
            age_s = seconds_since_boot() - samples[-1].at
            reply = PrimaryPositionReply(event.request.id, samples[-1].position, age_s)
            self._send(SendDatagram(reply, event.peer))

    def take_reply(
        self, reply: PrimaryPositionReply
    ) -> tuple[str, PrimaryPositionSample] | None:
        """Return the group and the sample of a reply, None if it is not awaited."""
        request = self._request_by_id.pop(reply.id, None)
        if request is None:
            return None
        group, asked_at = request
        return group, relayed_sample(reply.position, reply.age_s, asked_at)

    def _send(self, datagram: SendDatagram) -> None:
        try:
            self._peers.send_nowait(datagram)
        except WouldBlock:
            logging.vlog(1, "router: position not exchanged, the peers inbox is full")
