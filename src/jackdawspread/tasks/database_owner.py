"""Owner of one database."""

from itertools import count
from typing import Any

from absl import logging
from expression import Error, Ok
from trio import (
    MemoryReceiveChannel,
    MemorySendChannel,
    open_memory_channel,
    open_nursery,
)

from jackdawspread.messages.answer import Answer
from jackdawspread.messages.http_call import HttpCall
from jackdawspread.messages.http_outcome import HttpOutcome
from jackdawspread.messages.position import Position
from jackdawspread.messages.ran import Ran
from jackdawspread.messages.refusal import Refusal
from jackdawspread.messages.reply import Reply
from jackdawspread.messages.request_kind import RequestKind
from jackdawspread.messages.routed_reply import RoutedReply
from jackdawspread.messages.routed_submission import RoutedSubmission
from jackdawspread.messages.statement_result import StatementResult
from jackdawspread.settings.database_settings import DatabaseSettings
from jackdawspread.tasks.http_client_connection import HttpClientConnection


class DatabaseOwner:
    """Owns the queue and the connections of one database.

    Parameters
    ----------
    settings : DatabaseSettings
        The database.
    inbox : trio.MemoryReceiveChannel
        Requests to run.
    """

    def __init__(
        self, settings: DatabaseSettings, inbox: MemoryReceiveChannel[RoutedSubmission]
    ) -> None:
        self._settings = settings
        self._inbox = inbox
        self._ids = count(1)

    async def run(self) -> None:
        """Run requests one by one until cancelled."""
        async with open_nursery() as nursery:
            calls, call_inbox = open_memory_channel[HttpCall](1)
            address = self._settings.member_addresses[0]
            connection = HttpClientConnection(1, address, call_inbox)
            nursery.start_soon(connection.run)
            async for submission in self._inbox:
                reply = await self._run(submission, calls)
                await submission.reply_to.send(
                    RoutedReply(submission.request.id, reply)
                )

    async def _run(
        self, submission: RoutedSubmission, calls: MemorySendChannel[HttpCall]
    ) -> Reply:
        request = submission.request
        outcomes, outcome_inbox = open_memory_channel[HttpOutcome](1)
        if request.kind is RequestKind.READ:
            target = "/read"
            body: dict[str, Any] = {"statement": request.statements[0]._asdict()}
        else:
            statements = [statement._asdict() for statement in request.statements]
            target, body = "/write", {"statements": statements}
        call = HttpCall(
            next(self._ids), "POST", target, body, request.deadline, outcomes
        )
        await calls.send(call)
        logging.info("owner: ran request id=%s target=%s", request.id, target)
        return _decode(await outcome_inbox.receive(), self._settings)


def _decode(outcome: HttpOutcome, settings: DatabaseSettings) -> Reply:
    peer = settings.member_addresses[0]
    if outcome.status != 200:
        code = outcome.body.get("code", "member_unreachable")
        detail = outcome.body.get("detail", outcome.error)
        ran = Ran.UNKNOWN if outcome.sent and not outcome.status else Ran.NOT_RUN
        return Error(Refusal(code, ran, "execution", peer, detail))
    body = outcome.body
    results = tuple(
        StatementResult(
            tuple(item["columns"]),
            tuple(tuple(row) for row in item["rows"]),
            item.get("changes", 0),
        )
        for item in body.get("results", [body])
    )
    position = Position(*body["position"])
    return Ok(Answer(results, position, peer, body.get("role", "primary")))
