"""Requests of a session to the admission task."""

from absl import logging
from trio import (
    MemoryReceiveChannel,
    MemorySendChannel,
    WouldBlock,
    open_memory_channel,
)

from jackdawspread.messages.execution_status import ExecutionStatus
from jackdawspread.messages.fleet.admission_event import AdmissionEvent
from jackdawspread.messages.fleet.admission_request import AdmissionRequest
from jackdawspread.messages.fleet.continuation_request import ContinuationRequest
from jackdawspread.messages.fleet.operation_admitted import OperationAdmitted
from jackdawspread.messages.fleet.operation_not_run import OperationNotRun
from jackdawspread.messages.refusal import Refusal
from jackdawspread.messages.statements.open_session import OpenSession


class AdmissionCalls:
    """Asks whether the operations and statements of one session may run.

    Parameters
    ----------
    handshake : OpenSession
        Database and key of the session.
    admission : trio.MemorySendChannel
        Inbox of the admission task.
    """

    def __init__(
        self, handshake: OpenSession, admission: MemorySendChannel[AdmissionEvent]
    ) -> None:
        self._handshake = handshake
        self._admission = admission

    async def admit(self, counts_against_rate: bool) -> OperationAdmitted | Refusal:
        """Have a new operation, or the session itself, admitted or refused."""
        send, receive = open_memory_channel[OperationAdmitted | Refusal](1)
        database, key = self._handshake.database, self._handshake.key
        request = AdmissionRequest(database, key, counts_against_rate, send)
        return await self._ask(request, receive)

    async def check_continuation(
        self, transaction: OperationAdmitted
    ) -> OperationAdmitted | Refusal:
        """Have the next statement of an open transaction admitted or refused."""
        send, receive = open_memory_channel[OperationAdmitted | Refusal](1)
        request = ContinuationRequest(transaction, self._handshake.key, send)
        return await self._ask(request, receive)

    def return_token(self, workspace: str) -> None:
        """Return the rate token of an operation that no member has run."""
        try:
            self._admission.send_nowait(OperationNotRun(workspace))
        except WouldBlock:
            logging.vlog(1, "session: rate token not returned, admission inbox full")

    async def _ask(
        self,
        request: AdmissionRequest | ContinuationRequest,
        replies: MemoryReceiveChannel[OperationAdmitted | Refusal],
    ) -> OperationAdmitted | Refusal:
        try:
            self._admission.send_nowait(request)
        except WouldBlock:
            logging.warning("session: admission inbox full")
            detail = "the instance is overloaded"
            return Refusal("busy", ExecutionStatus.NOT_RUN, "admission", "", detail)
        return await replies.receive()
