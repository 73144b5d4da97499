"""Admission and routing of callers' requests."""

from collections.abc import Mapping
from functools import singledispatchmethod
from itertools import count

from absl import logging
from expression import Error
from trio import (
    EndOfChannel,
    MemoryReceiveChannel,
    MemorySendChannel,
    WouldBlock,
    current_time,
    move_on_at,
)

from jackdawspread.codecs.session_token import SessionTokenCodec
from jackdawspread.decisions.admission import UNLIMITED_KINDS, Admission, admit
from jackdawspread.decisions.route import (
    REPEATABLE_KINDS,
    choose_peer,
    conclude,
    may_reroute,
)
from jackdawspread.messages.admitted_reply import AdmittedReply
from jackdawspread.messages.caller_submission import CallerSubmission
from jackdawspread.messages.control_snapshot import ControlSnapshot
from jackdawspread.messages.peer_received import PeerReceived
from jackdawspread.messages.ran import Ran
from jackdawspread.messages.readiness import Readiness
from jackdawspread.messages.readiness_query import ReadinessQuery
from jackdawspread.messages.refusal import Refusal
from jackdawspread.messages.reply import Reply
from jackdawspread.messages.routed_reply import RoutedReply
from jackdawspread.messages.routed_request import RoutedRequest
from jackdawspread.messages.routed_send import RoutedSend
from jackdawspread.messages.routed_submission import RoutedSubmission
from jackdawspread.messages.session import Session
from jackdawspread.settings.experiment_settings import (
    PRODUCT_CHOICE,
    ExperimentSettings,
)
from jackdawspread.tasks.deadline_queue import DeadlineQueue
from jackdawspread.tasks.gateway_metrics import REQUEST_SECONDS, REQUESTS, REROUTES
from jackdawspread.tasks.peer_hub import HubInput
from jackdawspread.tasks.pending_request import PendingRequest
from jackdawspread.tasks.rate_limits import RateLimits

GatewayEvent = (
    CallerSubmission | ReadinessQuery | RoutedReply | ControlSnapshot | PeerReceived
)
REROUTE_PAUSE_S = 0.02
# The owner replies at a request's deadline; the gateway waits a little longer so
# that the owner's more precise refusal reaches the caller.
OWNER_REPLY_GRACE_S = 0.1
# Bounds the time before due requests and the other tasks get their turn.
MAX_BATCH_EVENTS = 32


class Gateway:
    """Owns the requests of an instance's callers, from arrival to reply.

    Parameters
    ----------
    own_address : str
        Peer address of this instance.
    inbox : trio.MemoryReceiveChannel
        Callers' requests, replies, snapshots and peers' messages about rates.
    replies : trio.MemorySendChannel
        Sending side of the inbox, handed to owners and links.
    owner_by_database : dict of str to trio.MemorySendChannel
        Inboxes of the local owners.
    hub : trio.MemorySendChannel
        Inbox of the peer hub.
    tokens : SessionTokenCodec
        Codec of session tokens.
    experiment : ExperimentSettings
        Policies; those of rates and pooling concern the gateway.
    """

    def __init__(
        self,
        own_address: str,
        inbox: MemoryReceiveChannel[GatewayEvent],
        replies: MemorySendChannel[GatewayEvent],
        owner_by_database: Mapping[str, MemorySendChannel[RoutedSubmission]],
        hub: MemorySendChannel[HubInput],
        tokens: SessionTokenCodec,
        experiment: ExperimentSettings = PRODUCT_CHOICE,
    ) -> None:
        self._own_address = own_address
        self._inbox = inbox
        self._replies = replies
        self._owner_by_database = owner_by_database
        self._databases = frozenset(owner_by_database)
        self._hub = hub
        self._tokens = tokens
        self._snapshot: ControlSnapshot | None = None
        self._pending_by_id: dict[str, PendingRequest] = {}
        self._deadlines = DeadlineQueue()
        self._reroutes = DeadlineQueue()
        self._ids = count(1)
        self._is_independent = experiment.pooling == "independent"
        self._limits = RateLimits(
            own_address,
            hub,
            self._admitted,
            self._rate_refused,
            experiment.rates == "borrow",
        )

    async def run(self) -> None:
        """Handle events until the inbox closes."""
        while True:
            with move_on_at(self._next_deadline()):
                try:
                    self._handle(await self._inbox.receive())
                except EndOfChannel:
                    return
            self._handle_waiting()
            self._handle_due(current_time())

    def _handle_waiting(self) -> None:
        """Handle what has arrived already, without a cancel scope for each event."""
        for _ in range(MAX_BATCH_EVENTS):
            try:
                event = self._inbox.receive_nowait()
            except (WouldBlock, EndOfChannel):
                return
            self._handle(event)

    def _next_deadline(self) -> float:
        return min(
            self._deadlines.next_deadline(),
            self._reroutes.next_deadline(),
            self._limits.next_deadline(),
        )

    def _handle_due(self, now: float) -> None:
        for id in self._deadlines.take_due(now):
            if id in self._pending_by_id:
                self._expire(id)
        for id in self._reroutes.take_due(now):
            if id in self._pending_by_id:
                self._route(id)
        self._limits.handle_due(now)

    @singledispatchmethod
    def _handle(self, event: object) -> None:
        raise TypeError(f"gateway cannot handle {type(event).__name__}")

    @_handle.register
    def _(self, event: ControlSnapshot) -> None:
        if self._is_independent:
            own: tuple[str, ...] = (self._own_address,)
            by_database = dict.fromkeys(self._databases, own)
            event = event._replace(seat_addresses_by_database=by_database)
        self._snapshot = event
        self._limits.use_snapshot(event, current_time())
        for id, pending in tuple(self._pending_by_id.items()):
            if self._has_lost_its_peer(pending, event):
                self._reroute(id, "peer_silent", may_have_run=True)

    @_handle.register
    def _(self, event: ReadinessQuery) -> None:
        event.reply_to.send_nowait(Readiness(self._has_authority()))

    @_handle.register
    def _(self, event: PeerReceived) -> None:
        self._limits.handle_peer(event, current_time())

    @_handle.register
    def _(self, event: CallerSubmission) -> None:
        now = current_time()
        checked = self._check(event, now)
        if isinstance(checked, Refusal):
            self._reply_unrouted(event, checked)
            return
        session, admission = checked
        request = self._make_request(event, session, admission)
        pending = PendingRequest(event, session, request, 0, "", now)
        self._pending_by_id[request.id] = pending
        self._deadlines.add(request.id, request.deadline + OWNER_REPLY_GRACE_S)
        if request.kind in UNLIMITED_KINDS:
            self._route(request.id)
        else:
            self._limits.request(request.workspace, request.id, request.deadline, now)

    @_handle.register
    def _(self, event: RoutedReply) -> None:
        pending = self._pending_by_id.get(event.id)
        if pending is None:
            return
        if event.reply.is_error() and may_reroute(pending.request, event.reply.error):
            refusal = event.reply.error
            self._reroute(event.id, refusal.code, refusal.ran is not Ran.NOT_RUN)
        else:
            reply = conclude(pending.request, event.reply, pending.may_have_run)
            self._reply(event.id, reply)

    def _check(
        self, event: CallerSubmission, now: float
    ) -> tuple[Session, Admission] | Refusal:
        request = event.request
        if self._snapshot is None:
            detail = "this instance is starting; try another one"
            return Refusal("no_authority", Ran.NOT_RUN, "admission", "", detail, 1000)
        session = Session("", {})
        if request.session_token:
            decoded = self._tokens.decode(request.session_token)
            if decoded.is_error():
                return Refusal(
                    "bad_session_token", Ran.NOT_RUN, "admission", "", decoded.error
                )
            session = decoded.ok
        admission = admit(request, session, self._snapshot, self._databases, now)
        return admission.error if admission.is_error() else (session, admission.ok)

    def _make_request(
        self, event: CallerSubmission, session: Session, admission: Admission
    ) -> RoutedRequest:
        request = event.request
        return RoutedRequest(
            id=self._new_id(),
            kind=request.kind,
            workspace=admission.workspace,
            key_id=admission.key_id,
            database=admission.database,
            statements=request.statements,
            idempotency_key=request.idempotency_key,
            position=session.position_by_database.get(admission.database),
            max_staleness=request.max_staleness,
            deadline=request.deadline,
            transaction_id=request.transaction_id,
            page_rows=request.page_rows,
            offset=request.offset,
        )

    def _new_id(self) -> str:
        incarnation = self._snapshot.incarnation if self._snapshot else ""
        return f"{incarnation}-{next(self._ids)}"

    def _admitted(self, id: str) -> None:
        if id not in self._pending_by_id:
            return
        # The request may have waited for its rate, or the process may have been
        # paused, so what held on arrival is checked again.
        if self._has_authority():
            self._route(id)
        else:
            self._refuse(id, "no_authority", Ran.NOT_RUN, "authority lapsed meanwhile")

    def _has_authority(self) -> bool:
        snapshot = self._snapshot
        return snapshot is not None and current_time() < snapshot.authority_deadline

    def _rate_refused(self, id: str) -> None:
        if id in self._pending_by_id:
            detail = "the workspace is above its rate"
            refusal = Refusal(
                "rate_limited", Ran.NOT_RUN, "admission", "", detail, 1000
            )
            self._reply(id, Error(refusal))

    def _route(self, id: str) -> None:
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
                self._hub.send_nowait(RoutedSend(peer, submission))
        except WouldBlock:
            self._refuse(id, "overloaded", Ran.NOT_RUN, "this instance is overloaded")

    def _refuse_without_peer(self, id: str, request: RoutedRequest) -> None:
        if request.transaction_id:
            detail = "the instance that ran the transaction is gone; it is rolled back"
            self._refuse(id, "unknown_transaction", Ran.NOT_RUN, detail)
        else:
            self._reroute(id, "no_owner", may_have_run=False)

    def _reroute(self, id: str, code: str, may_have_run: bool) -> None:
        """Try a request again under a new id, so that a late reply is dropped."""
        pending = self._pending_by_id.pop(id)
        REROUTES.labels(code).inc()
        renamed = pending.request._replace(id=self._new_id())
        self._pending_by_id[renamed.id] = pending._replace(
            request=renamed,
            attempt=pending.attempt + 1,
            peer_address="",
            may_have_run=pending.may_have_run or may_have_run,
        )
        self._deadlines.add(renamed.id, renamed.deadline + OWNER_REPLY_GRACE_S)
        pause = REROUTE_PAUSE_S * (pending.attempt + 1)
        self._reroutes.add(renamed.id, current_time() + pause)

    def _has_lost_its_peer(
        self, pending: PendingRequest, snapshot: ControlSnapshot
    ) -> bool:
        request = pending.request
        if not pending.peer_address or request.kind not in REPEATABLE_KINDS:
            return False
        live = snapshot.seat_addresses_by_database.get(request.database, ())
        return bool(live) and pending.peer_address not in live

    def _expire(self, id: str) -> None:
        pending = self._pending_by_id[id]
        was_sent = bool(pending.peer_address) or pending.may_have_run
        if was_sent and pending.request.kind is not pending.request.kind.READ:
            detail = "no answer in time; ask for the outcome with the same request id"
            self._refuse(id, "outcome_unknown", Ran.UNKNOWN, detail)
        else:
            ran = Ran.UNKNOWN if was_sent else Ran.NOT_RUN
            self._refuse(id, "deadline_exceeded", ran, "no answer in time")

    def _refuse(self, id: str, code: str, ran: Ran, detail: str) -> None:
        pending = self._pending_by_id[id]
        refusal = Refusal(code, ran, "routing", pending.peer_address, detail)
        reply: Reply = Error(refusal)
        self._reply(id, conclude(pending.request, reply, pending.may_have_run))

    def _reply(self, id: str, reply: Reply) -> None:
        pending = self._pending_by_id.pop(id)
        request, session = pending.request, pending.session
        token = pending.submission.request.session_token
        position = reply.ok.position if reply.is_ok() else None
        if position is not None:
            positions = dict(session.position_by_database)
            known = positions.get(request.database)
            # Signing costs more than the rest of the reply's bookkeeping; a token
            # that holds the position already is returned as it came.
            if known is None or position > known:
                positions[request.database] = position
                token = self._tokens.encode(Session(request.workspace, positions))
        code = "ok" if reply.is_ok() else reply.error.code
        REQUESTS.labels(request.workspace, request.kind.value, code).inc()
        elapsed = current_time() - pending.admitted_at
        REQUEST_SECONDS.labels(request.kind.value).observe(elapsed)
        pending.submission.reply_to.send_nowait(AdmittedReply(reply, token))

    def _reply_unrouted(self, event: CallerSubmission, refusal: Refusal) -> None:
        logging.info(
            "admission: refused code=%s database=%s",
            refusal.code,
            event.request.database,
        )
        REQUESTS.labels("", event.request.kind.value, refusal.code).inc()
        reply = AdmittedReply(Error(refusal), event.request.session_token)
        event.reply_to.send_nowait(reply)
