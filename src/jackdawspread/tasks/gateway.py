"""Admission and routing of callers' requests."""

from functools import singledispatchmethod
from itertools import count

from absl import logging
from expression import Error
from trio import MemoryReceiveChannel, MemorySendChannel, WouldBlock

from jackdawspread.codecs.session_token import SessionTokenCodec
from jackdawspread.messages.admitted_reply import AdmittedReply
from jackdawspread.messages.caller_submission import CallerSubmission
from jackdawspread.messages.ran import Ran
from jackdawspread.messages.refusal import Refusal
from jackdawspread.messages.routed_reply import RoutedReply
from jackdawspread.messages.routed_request import RoutedRequest
from jackdawspread.messages.routed_submission import RoutedSubmission
from jackdawspread.messages.session import Session

GatewayEvent = CallerSubmission | RoutedReply


class Gateway:
    """Owns the admission state of an instance.

    Parameters
    ----------
    inbox : trio.MemoryReceiveChannel
        Callers' requests and the replies of owners.
    replies : trio.MemorySendChannel
        Sending side of the inbox, handed to owners.
    owner_by_database : dict of str to trio.MemorySendChannel
        Inboxes of the owners.
    tokens : SessionTokenCodec
        Codec of session tokens.
    """

    def __init__(
        self,
        inbox: MemoryReceiveChannel[GatewayEvent],
        replies: MemorySendChannel[GatewayEvent],
        owner_by_database: dict[str, MemorySendChannel[RoutedSubmission]],
        tokens: SessionTokenCodec,
    ) -> None:
        self._inbox = inbox
        self._replies = replies
        self._owner_by_database = owner_by_database
        self._tokens = tokens
        self._pending_by_id: dict[str, tuple[CallerSubmission, Session]] = {}
        self._ids = count(1)

    async def run(self) -> None:
        """Handle events until cancelled."""
        async for event in self._inbox:
            self._handle(event)

    @singledispatchmethod
    def _handle(self, event: object) -> None:
        raise TypeError(f"gateway cannot handle {type(event).__name__}")

    @_handle.register
    def _(self, event: CallerSubmission) -> None:
        request = event.request
        owner = self._owner_by_database.get(request.database)
        if owner is None:
            self._refuse(event, "unknown_database", "no such database")
            return
        session = Session("default", {})
        if request.session_token:
            decoded = self._tokens.decode(request.session_token)
            if decoded.is_error():
                self._refuse(event, "bad_session_token", decoded.error)
                return
            session = decoded.ok
        routed = RoutedRequest(
            id=str(next(self._ids)),
            kind=request.kind,
            workspace=session.workspace,
            key_id="",
            database=request.database,
            statements=request.statements,
            idempotency_key=request.idempotency_key,
            position=session.position_by_database.get(request.database),
            max_staleness=request.max_staleness,
            deadline=request.deadline,
        )
        self._pending_by_id[routed.id] = (event, session)
        try:
            owner.send_nowait(RoutedSubmission(routed, self._replies))
        except WouldBlock:
            del self._pending_by_id[routed.id]
            self._refuse(event, "queue_full", "the database's owner is overloaded")
            return
        logging.info(
            "route: sent request id=%s database=%s", routed.id, routed.database
        )

    @_handle.register
    def _(self, event: RoutedReply) -> None:
        pending = self._pending_by_id.pop(event.id, None)
        if pending is None:
            return
        submission, session = pending
        token = submission.request.session_token
        if event.reply.is_ok() and event.reply.ok.position is not None:
            positions = dict(session.position_by_database)
            positions[submission.request.database] = event.reply.ok.position
            token = self._tokens.encode(Session(session.workspace, positions))
        submission.reply_to.send_nowait(AdmittedReply(event.reply, token))

    def _refuse(self, event: CallerSubmission, code: str, detail: str) -> None:
        refusal = Refusal(code, Ran.NOT_RUN, "admission", "", detail)
        token = event.request.session_token
        event.reply_to.send_nowait(AdmittedReply(Error(refusal), token))
