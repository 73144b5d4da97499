"""Task that admits and routes the requests of callers."""

from collections.abc import Mapping
from functools import singledispatchmethod

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
from jackdawspread.decisions.admission import RATE_EXEMPT_KINDS, Admission, admit
from jackdawspread.messages.caller_reply import CallerReply
from jackdawspread.messages.caller_submission import CallerSubmission
from jackdawspread.messages.control_snapshot import ControlSnapshot
from jackdawspread.messages.execution_status import ExecutionStatus
from jackdawspread.messages.peer_message_received import PeerMessageReceived
from jackdawspread.messages.readiness import Readiness
from jackdawspread.messages.readiness_query import ReadinessQuery
from jackdawspread.messages.refusal import Refusal
from jackdawspread.messages.routed_reply import RoutedReply
from jackdawspread.messages.routed_request import RoutedRequest
from jackdawspread.messages.routed_submission import RoutedSubmission
from jackdawspread.messages.session import Session
from jackdawspread.settings.experiment_settings import (
    DEFAULT_EXPERIMENT,
    ExperimentSettings,
)
from jackdawspread.tasks.gateway_metrics import REQUESTS
from jackdawspread.tasks.peer_client import PeerClientEvent
from jackdawspread.tasks.pending_request import PendingRequest
from jackdawspread.tasks.request_router import RequestRouter
from jackdawspread.tasks.workspace_rate_limiters import WorkspaceRateLimiters

GatewayEvent = (
    CallerSubmission
    | ReadinessQuery
    | RoutedReply
    | ControlSnapshot
    | PeerMessageReceived
)
# Bounds the time before due requests and the other tasks are handled.
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
        Sending side of the inbox, for the replies of owners and peer streams.
    owner_by_database : dict of str to trio.MemorySendChannel
        Inboxes of the local owners.
    peer_client : trio.MemorySendChannel
        Inbox of the peer client.
    tokens : SessionTokenCodec
        Codec of session tokens.
    experiment : ExperimentSettings
        Policies; the gateway uses those of rates and pooling.
    """

    def __init__(
        self,
        own_address: str,
        inbox: MemoryReceiveChannel[GatewayEvent],
        replies: MemorySendChannel[GatewayEvent],
        owner_by_database: Mapping[str, MemorySendChannel[RoutedSubmission]],
        peer_client: MemorySendChannel[PeerClientEvent],
        tokens: SessionTokenCodec,
        experiment: ExperimentSettings = DEFAULT_EXPERIMENT,
    ) -> None:
        self._own_address = own_address
        self._inbox = inbox
        self._databases = frozenset(owner_by_database)
        self._tokens = tokens
        self._snapshot: ControlSnapshot | None = None
        self._router = RequestRouter(
            own_address, replies, owner_by_database, peer_client, tokens
        )
        self._is_independent = experiment.pooling == "independent"
        self._rate_limiters = WorkspaceRateLimiters(
            own_address,
            peer_client,
            self._handle_admitted,
            self._handle_rate_refused,
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
        """Handle the events that have arrived, without a cancel scope for each one."""
        for _ in range(MAX_BATCH_EVENTS):
            try:
                event = self._inbox.receive_nowait()
            except (WouldBlock, EndOfChannel):
                return
            self._handle(event)

    def _next_deadline(self) -> float:
        return min(self._router.next_deadline(), self._rate_limiters.next_deadline())

    def _handle_due(self, now: float) -> None:
        self._router.handle_due(now)
        self._rate_limiters.handle_due(now)

    @singledispatchmethod
    def _handle(self, event: object) -> None:
        raise TypeError(f"gateway cannot handle {type(event).__name__}")

    @_handle.register
    def _(self, event: ControlSnapshot) -> None:
        if self._is_independent:
            own: tuple[str, ...] = (self._own_address,)
            by_database = dict.fromkeys(self._databases, own)
            event = event._replace(owner_addresses_by_database=by_database)
        self._snapshot = event
        self._rate_limiters.use_snapshot(event, current_time())
        self._router.use_snapshot(event)

    @_handle.register
    def _(self, event: ReadinessQuery) -> None:
        event.reply_to.send_nowait(Readiness(self._has_authority()))

    @_handle.register
    def _(self, event: PeerMessageReceived) -> None:
        self._rate_limiters.handle_peer(event, current_time())

    @_handle.register
    def _(self, event: CallerSubmission) -> None:
        now = current_time()
        checked = self._check(event, now)
        if isinstance(checked, Refusal):
            self._reply_unrouted(event, checked)
            return
        session, admission = checked
        request = self._make_request(event, session, admission)
        self._router.add(PendingRequest(event, session, request, 0, "", now))
        if request.kind in RATE_EXEMPT_KINDS:
            self._router.route(request.id)
        else:
            self._rate_limiters.request(
                request.workspace, request.id, request.deadline, now
            )

    @_handle.register
    def _(self, event: RoutedReply) -> None:
        self._router.handle_reply(event)

    def _check(
        self, event: CallerSubmission, now: float
    ) -> tuple[Session, Admission] | Refusal:
        request = event.request
        if self._snapshot is None:
            detail = "this instance is starting; try another one"
            return Refusal(
                "no_authority", ExecutionStatus.NOT_RUN, "admission", "", detail, 1000
            )
        session = Session("", {})
        if request.session_token:
            decoded = self._tokens.decode(request.session_token)
            if decoded.is_error():
                return Refusal(
                    "bad_session_token",
                    ExecutionStatus.NOT_RUN,
                    "admission",
                    "",
                    decoded.error,
                )
            session = decoded.ok
        admission = admit(request, session, self._snapshot, self._databases, now)
        return admission.error if admission.is_error() else (session, admission.ok)

    def _make_request(
        self, event: CallerSubmission, session: Session, admission: Admission
    ) -> RoutedRequest:
        request = event.request
        return RoutedRequest(
            id=self._router.new_id(),
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

    def _handle_admitted(self, id: str) -> None:
        if id not in self._router:
            return
        # The authority is checked again because the request may have waited for its
        # rate, or the process may have been paused, since the check on arrival.
        if self._has_authority():
            self._router.route(id)
        else:
            detail = "the authority expired while the request waited"
            self._router.refuse(id, "no_authority", ExecutionStatus.NOT_RUN, detail)

    def _has_authority(self) -> bool:
        snapshot = self._snapshot
        return snapshot is not None and current_time() < snapshot.authority_deadline

    def _handle_rate_refused(self, id: str) -> None:
        if id in self._router:
            detail = "the workspace is above its rate"
            refusal = Refusal(
                "rate_limited", ExecutionStatus.NOT_RUN, "admission", "", detail, 1000
            )
            self._router.reply(id, Error(refusal))

    def _reply_unrouted(self, event: CallerSubmission, refusal: Refusal) -> None:
        logging.info(
            "admission: refused code=%s database=%s",
            refusal.code,
            event.request.database,
        )
        REQUESTS.labels("", event.request.kind.value, refusal.code).inc()
        reply = CallerReply(Error(refusal), event.request.session_token)
        event.reply_to.send_nowait(reply)
