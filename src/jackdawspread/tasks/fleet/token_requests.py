"""Requests for tokens to the holders of rate leases."""

from itertools import count
from math import inf

from absl import logging
from trio import MemorySendChannel, WouldBlock

from jackdawspread.decisions.placement.nearest_holders import (
    nearest_holders,
    update_delay,
)
from jackdawspread.decisions.rate_leases.holder_choice import next_holder
from jackdawspread.messages.fleet.admission_request import AdmissionRequest
from jackdawspread.messages.fleet.cold_token_request import ColdTokenRequest
from jackdawspread.messages.fleet.peer_event import PeerEvent
from jackdawspread.messages.fleet.send_datagram import SendDatagram
from jackdawspread.messages.fleet.token_replied import TokenReplied
from jackdawspread.messages.fleet.token_request import TokenRequest
from jackdawspread.tasks.fleet.fleet_metrics import TOKEN_REQUESTS
from jackdawspread.tasks.fleet.pending_token import PendingToken

# A reply takes one round trip between failure domains.
REPLY_TIMEOUT_S = 0.03
# A holder that did not reply is skipped for this long.
SILENT_HOLDER_SKIP_S = 1.0


class TokenRequests:
    """Asks one holder after the other; belongs to the admission task.

    Parameters
    ----------
    peers : trio.MemorySendChannel
        Inbox of the peers task.
    first_id : int
        Id of the first request. A restarted process must not use the ids of its
        predecessor, whose requests may still be answered.
    delay_limit_s : float
        Delay in seconds, one way, by which a holder is farther than the nearest one if
        it is asked only after the nearer ones.
    """

    def __init__(
        self,
        peers: MemorySendChannel[PeerEvent],
        first_id: int,
        delay_limit_s: float = inf,
    ) -> None:
        self._peers = peers
        self._delay_limit_s = delay_limit_s
        self._delay_s_by_holder: dict[str, float] = {}
        self._ids = count(first_id)
        self.holders: tuple[str, ...] = ()
        self._pending_by_id: dict[int, PendingToken] = {}
        self._silent_until_by_holder: dict[str, float] = {}

    @property
    def next_timeout(self) -> float:
        """Monotonic time in seconds of the next timeout, infinite without requests."""
        return min(
            (pending.reply_by for pending in self._pending_by_id.values()),
            default=float("inf"),
        )

    def start(
        self,
        request: AdmissionRequest | ColdTokenRequest,
        workspace: str,
        wait_s: float,
        now: float,
        priority: int = 0,
    ) -> bool:
        """Ask the first holder; return whether there is one.

        ``wait_s`` is the time in seconds until this instance has a token of its own.
        """
        id = next(self._ids)
        pending = PendingToken(request, workspace, (), now, wait_s, priority)
        return self._ask_next(id, pending, now) is None

    def handle_reply(self, event: TokenReplied, now: float) -> PendingToken | None:
        """Return the operation whose wait a reply has ended, None if there is none.

        A second reply to the same request is ignored, as it would double the token.
        """
        reply = event.reply
        self._silent_until_by_holder.pop(event.holder, None)
        pending = self._pending_by_id.get(reply.id)
        if pending is None:
            return None
        TOKEN_REQUESTS.labels("granted" if reply.granted else "refused").inc()
        if event.holder == pending.asked[-1]:
            self._measure(event.holder, pending, now)
        pending = pending._replace(wait_s=min(pending.wait_s, reply.wait_ms / 1000))
        if reply.granted:
            del self._pending_by_id[reply.id]
            return pending
        self._pending_by_id[reply.id] = pending
        if event.holder != pending.asked[-1]:
            return None
        return self._ask_next(reply.id, pending, now)

    def expire(self, now: float) -> list[PendingToken]:
        """Ask the next holders in place of silent ones; return what got no token."""
        ended = []
        for id, pending in list(self._pending_by_id.items()):
            if pending.reply_by > now:
                continue
            TOKEN_REQUESTS.labels("unanswered").inc()
            self._silent_until_by_holder[pending.asked[-1]] = now + SILENT_HOLDER_SKIP_S
            if (refused := self._ask_next(id, pending, now)) is not None:
                ended.append(refused)
        return ended

    def _measure(self, holder: str, pending: PendingToken, now: float) -> None:
        round_trip_s = now - (pending.reply_by - REPLY_TIMEOUT_S)
        self._delay_s_by_holder[holder] = update_delay(
            self._delay_s_by_holder.get(holder), round_trip_s / 2
        )

    def _next_holder(self, id: int, pending: PendingToken, now: float) -> str:
        silent_until = self._silent_until_by_holder
        near, far = nearest_holders(
            self.holders, self._delay_s_by_holder, self._delay_limit_s
        )
        return next_holder(near, pending.asked, silent_until, id, now) or next_holder(
            far, pending.asked, silent_until, id, now
        )

    def _ask_next(
        self, id: int, pending: PendingToken, now: float
    ) -> PendingToken | None:
        """Ask the next holder; return the operation if there is none left."""
        holder = self._next_holder(id, pending, now)
        if holder:
            request = TokenRequest(id, pending.workspace, pending.priority)
            try:
                self._peers.send_nowait(SendDatagram(request, holder))
            except WouldBlock:
                logging.vlog(1, "admission: token not requested, peers inbox full")
                holder = ""
        if not holder:
            self._pending_by_id.pop(id, None)
            return pending
        self._pending_by_id[id] = pending._replace(
            asked=(*pending.asked, holder), reply_by=now + REPLY_TIMEOUT_S
        )
        return None
