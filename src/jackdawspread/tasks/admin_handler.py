"""Handler of operators' HTTP requests."""

from functools import singledispatchmethod
from hashlib import sha256
from hmac import compare_digest
from itertools import count
from secrets import token_urlsafe

from trio import MemorySendChannel, WouldBlock, move_on_after, open_memory_channel

from jackdawspread.codecs.admin_api import decode_admin_request
from jackdawspread.codecs.admin_responses import encode_admin_outcome, select_section
from jackdawspread.messages.add_key import AddKey
from jackdawspread.messages.admin_answer import AdminAnswer
from jackdawspread.messages.admin_change import AdminChange
from jackdawspread.messages.admin_command import AdminCommand
from jackdawspread.messages.admin_result import AdminResult
from jackdawspread.messages.admin_status_query import AdminStatusQuery
from jackdawspread.messages.admin_submission import AdminSubmission
from jackdawspread.messages.execution_status import ExecutionStatus
from jackdawspread.messages.http_request import HttpRequest
from jackdawspread.messages.http_response import HttpResponse
from jackdawspread.messages.issue_key import IssueKey
from jackdawspread.messages.lost_race import LostRace
from jackdawspread.messages.refusal import Refusal
from jackdawspread.messages.status_section import StatusSection

KEY_BYTES = 32
# Longer than the control task takes to read back a write whose answer was lost.
ANSWER_TIMEOUT_S = 15.0

Outcome = AdminAnswer | Refusal | LostRace


class AdminHandler:
    """Answers operators' HTTP requests by submitting them to the control task.

    Parameters
    ----------
    control : trio.MemorySendChannel
        Inbox of the control task.
    operator_key_hash : str
        SHA-256 of the operator's credential, in hexadecimal.
    """

    def __init__(
        self, control: MemorySendChannel[AdminSubmission], operator_key_hash: str
    ) -> None:
        self._control = control
        self._operator_key_hash = operator_key_hash
        self._ids = count(1)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request; runs in the operator's connection task."""
        if not self._is_operator(request):
            detail = "the operator credential is missing or wrong"
            return encode_admin_outcome(_refuse("unauthorized", detail))
        decoded = decode_admin_request(request)
        if decoded.is_error():
            return encode_admin_outcome(decoded.error)
        outcome = await self._run(decoded.ok.action, decoded.ok)
        return encode_admin_outcome(outcome)

    def _is_operator(self, request: HttpRequest) -> bool:
        scheme, _, text = request.headers.get("authorization", "").partition(" ")
        digest = sha256(text.strip().encode()).hexdigest()
        is_equal = compare_digest(digest, self._operator_key_hash)
        return is_equal and scheme.lower() == "bearer"

    @singledispatchmethod
    async def _run(self, action: object, command: AdminCommand) -> Outcome:
        """Submit an action that is a change of the configuration."""
        id = self._next_id()
        change = AdminChange(id, action, command.expected_version)  # type: ignore[arg-type]
        return await self._submit(change)

    @_run.register
    async def _(self, action: StatusSection, command: AdminCommand) -> Outcome:
        outcome = await self._submit(AdminStatusQuery(self._next_id()))
        if isinstance(outcome, AdminAnswer):
            return AdminAnswer(select_section(action.name, outcome.body))
        return outcome

    @_run.register
    async def _(self, action: IssueKey, command: AdminCommand) -> Outcome:
        key = token_urlsafe(KEY_BYTES)
        key_id = sha256(key.encode()).hexdigest()
        add = AddKey(key_id, action.workspace)
        outcome = await self._submit(
            AdminChange(self._next_id(), add, command.expected_version)
        )
        if isinstance(outcome, AdminAnswer):
            return AdminAnswer({**outcome.body, "key": key, "key_id": key_id})
        return outcome

    def _next_id(self) -> str:
        return str(next(self._ids))

    async def _submit(self, request: AdminChange | AdminStatusQuery) -> Outcome:
        send, receive = open_memory_channel[AdminResult](1)
        try:
            self._control.send_nowait(AdminSubmission(request, send))
        except WouldBlock:
            return _refuse("overloaded", "the instance is overloaded; retry later")
        with move_on_after(ANSWER_TIMEOUT_S):
            return (await receive.receive()).outcome
        detail = (
            "no answer in time and the change may have been stored; "
            "check the current state before you retry"
        )
        return Refusal(
            "outcome_unknown", ExecutionStatus.UNKNOWN, "administration", "", detail
        )


def _refuse(code: str, detail: str) -> Refusal:
    return Refusal(code, ExecutionStatus.NOT_RUN, "administration", "", detail)
