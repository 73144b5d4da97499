"""Routing of admitted requests, and the replies to their callers."""

from collections.abc import Mapping
from itertools import count

from absl import logging
from expression import Error
from trio import MemorySendChannel, WouldBlock, current_time

from jackdawspread.codecs.session_token import SessionTokenCodec
from jackdawspread.decisions.request_routing import (
    IDEMPOTENT_KINDS,
    choose_peer,
    final_reply,
    may_reroute,
)
from jackdawspread.messages.caller_reply import CallerReply
from jackdawspread.messages.control_snapshot import ControlSnapshot
from jackdawspread.messages.execution_status import ExecutionStatus
from jackdawspread.messages.forward_request import ForwardRequest
from jackdawspread.messages.refusal import Refusal
from jackdawspread.messages.reply import Reply
from jackdawspread.messages.request_kind import RequestKind
from jackdawspread.messages.routed_reply import RoutedReply
from jackdawspread.messages.routed_request import RoutedRequest
from jackdawspread.messages.routed_submission import RoutedSubmission
from jackdawspread.messages.session import Session
from jackdawspread.tasks.deadline_queue import DeadlineQueue
from jackdawspread.tasks.gateway_metrics import REQUEST_SECONDS, REQUESTS, REROUTES
from jackdawspread.tasks.peer_client import PeerClientEvent
from jackdawspread.tasks.pending_request import PendingRequest

REROUTE_DELAY_S = 0.02
# The owner replies at a request's deadline; the gateway waits a little longer so
# that the owner's more precise refusal reaches the caller.
OWNER_REPLY_GRACE_S = 0.1


class RequestRouter:
    """Owns the requests that await a reply, as a part of the gateway's state.

    Parameters
    ----------
    own_address : str
        Peer address of this instance.
    replies : trio.MemorySendChannel
        Channel for the replies of owners and peer streams.
    owner_by_database : mapping of str to trio.MemorySendChannel
        Inboxes of the local owners.
    peer_client : trio.MemorySendChannel
        Inbox of the peer client.
    tokens : SessionTokenCodec
        Codec of session tokens.
    """

    def __init__(
        self,
        own_address: str,
        replies: MemorySendChannel[RoutedReply],
        owner_by_database: Mapping[str, MemorySendChannel[RoutedSubmission]],
        peer_client: MemorySendChannel[PeerClientEvent],
        tokens: SessionTokenCodec,
    ) -> None:
        self._own_address = own_address
        self._replies = replies
        self._owner_by_database = owner_by_database
        self._peer_client = peer_client
        self._tokens = tokens
        self._snapshot: ControlSnapshot | None = None
        self._pending_by_id: dict[str, PendingRequest] = {}
        self._deadlines = DeadlineQueue()
        self._reroutes = DeadlineQueue()
        self._ids = count(1)

    def new_id(self) -> str:
        """Return an id that is unique among all instances."""
        incarnation = self._snapshot.incarnation if self._snapshot else ""
        return f"{incarnation}-{next(self._ids)}"

    def add(self, pending: PendingRequest) -> None:
        """Add a request that is to be routed or refused later."""
        request = pending.request
        self._pending_by_id[request.id] = pending
        self._deadlines.add(request.id, request.deadline + OWNER_REPLY_GRACE_S)

    def __contains__(self, id: str) -> bool:
        """Return whether a request still awaits its reply."""
        return id in self._pending_by_id

    def use_snapshot(self, snapshot: ControlSnapshot) -> None:
        """Apply a snapshot, and reroute the requests of peers that are not live."""
        self._snapshot = snapshot
        for id, pending in tuple(self._pending_by_id.items()):
            if _is_peer_gone(pending, snapshot):
                self._reroute(id, "peer_silent", may_have_run=True)

    def next_deadline(self) -> float:
        """Return the monotonic time at which `handle_due` is to be called."""
        return min(self._deadlines.next_deadline(), self._reroutes.next_deadline())

    def handle_due(self, now: float) -> None:
        """Refuse the expired requests, and send those whose reroute delay has ended."""
        for id in self._deadlines.take_due(now):
            if id in self._pending_by_id:
                self._expire(id)
        for id in self._reroutes.take_due(now):
            if id in self._pending_by_id:
                self.route(id)

    def handle_reply(self, event: RoutedReply) -> None:
        """Forward a reply, or retry a refused request at another instance."""
        pending = self._pending_by_id.get(event.id)
        if pending is None:
            return
        if event.reply.is_error() and may_reroute(pending.request, event.reply.error):
            refusal = event.reply.error
            self._reroute(
                event.id, refusal.code, refusal.ran is not ExecutionStatus.NOT_RUN
            )
        else:
            reply = final_reply(pending.request, event.reply, pending.may_have_run)
            self.reply(event.id, reply)

    def route(self, id: str) -> None:
        """Send a request to the instance that is to run it."""
        assert self._snapshot is not None
        pending = self._pending_by_id[id]
        request = pending.request
        peer = choose_peer(request, self._snapshot, pending.attempt)
        if peer is None:
            self._refuse_without_peer(id, request)
            return
        self._pending_by_id[id] = pending._replace(peer_address=peer)
        logging.info(
            "route: request sent id=%s database=%s kind=%s peer=%s attempt=%d",
            id,
            request.database,
            request.kind.value,
            "self" if peer == self._own_address else peer,
            pending.attempt,
        )
        submission = RoutedSubmission(request, self._replies)
        try:
            if peer == self._own_address:
                self._owner_by_database[request.database].send_nowait(submission)
            else:
                self._peer_client.send_nowait(ForwardRequest(peer, submission))
        except WouldBlock:
            self.refuse(
                id, "overloaded", ExecutionStatus.NOT_RUN, "this instance is overloaded"
            )

    def _refuse_without_peer(self, id: str, request: RoutedRequest) -> None:
        if request.transaction_id:
            detail = (
                "the instance that ran the transaction is gone; "
                "the transaction is rolled back"
            )
            self.refuse(id, "unknown_transaction", ExecutionStatus.NOT_RUN, detail)
        else:
            self._reroute(id, "no_owner", may_have_run=False)

    def _reroute(self, id: str, code: str, may_have_run: bool) -> None:
        """Retry a request under a new id, so that a late reply is dropped."""
        pending = self._pending_by_id.pop(id)
        REROUTES.labels(code).inc()
        renamed = pending.request._replace(id=self.new_id())
        self.add(
            pending._replace(
                request=renamed,
                attempt=pending.attempt + 1,
                peer_address="",
                may_have_run=pending.may_have_run or may_have_run,
            )
        )
        delay = REROUTE_DELAY_S * (pending.attempt + 1)
        self._reroutes.add(renamed.id, current_time() + delay)

    def _expire(self, id: str) -> None:
        pending = self._pending_by_id[id]
        was_sent = bool(pending.peer_address) or pending.may_have_run
        if was_sent and pending.request.kind is not RequestKind.READ:
            detail = "no answer in time; query the outcome with the same request id"
            self.refuse(id, "outcome_unknown", ExecutionStatus.UNKNOWN, detail)
        else:
            ran = ExecutionStatus.UNKNOWN if was_sent else ExecutionStatus.NOT_RUN
            self.refuse(id, "deadline_exceeded", ran, "no answer in time")

    def refuse(self, id: str, code: str, ran: ExecutionStatus, detail: str) -> None:
        """Refuse a request; the refusal takes its earlier attempts into account."""
        pending = self._pending_by_id[id]
        refusal = Refusal(code, ran, "routing", pending.peer_address, detail)
        reply: Reply = Error(refusal)
        self.reply(id, final_reply(pending.request, reply, pending.may_have_run))

    def reply(self, id: str, reply: Reply) -> None:
        """Send the only reply to a caller, with the new session token."""
        pending = self._pending_by_id.pop(id)
        request = pending.request
        token = self._next_token(pending, reply)
        code = "ok" if reply.is_ok() else reply.error.code
        REQUESTS.labels(request.workspace, request.kind.value, code).inc()
        elapsed = current_time() - pending.admitted_at
        REQUEST_SECONDS.labels(request.kind.value).observe(elapsed)
        pending.submission.reply_to.send_nowait(CallerReply(reply, token))

    def _next_token(self, pending: PendingRequest, reply: Reply) -> str:
        token = pending.submission.request.session_token
        position = reply.ok.position if reply.is_ok() else None
        if position is None:
            return token
        request = pending.request
        positions = dict(pending.session.position_by_database)
        known = positions.get(request.database)
        # Signing takes longer than the rest of the work on a reply, so a token that
        # already contains the position is returned unchanged.
        if known is not None and position <= known:
            return token
        positions[request.database] = position
        return self._tokens.encode(Session(request.workspace, positions))


def _is_peer_gone(pending: PendingRequest, snapshot: ControlSnapshot) -> bool:
    request = pending.request
    if not pending.peer_address or request.kind not in IDEMPOTENT_KINDS:
        return False
    live = snapshot.owner_addresses_by_database.get(request.database, ())
    return bool(live) and pending.peer_address not in live
