"""Caller of the load."""

from collections import defaultdict
from itertools import cycle

from trio import MemoryReceiveChannel, MemorySendChannel, current_time, sleep

from bench.client.client_reply import ClientReply
from bench.client.http_connection import HttpConnection
from bench.load.answer_body import AnswerBody
from bench.load.attempt import Attempt
from bench.load.caller_profile import CallerProfile
from bench.load.encode_call import CALL_TIMEOUT_S, encode_call
from bench.load.operation_record import OperationRecord
from bench.load.outcome import Outcome
from bench.load.scheduled_operation import ScheduledOperation
from bench.operations.prepare_call import prepare_call
from bench.operations.prepared_call import PreparedCall
from jackdawspread.codecs.json_body import decode_json

MAX_ATTEMPTS = 40
# Longer than a failover at the design scale (16 s), so that an unknown outcome is
# resolved within the operation.
GIVE_UP_S = 20.0
BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
# These refusals of a repeated write tell that repeating cannot change the outcome.
FINAL_CODES = frozenset({"statement_failed", "request_id_conflict", "bad_statement"})


class Caller:
    """Carries out one caller's operations in order, roaming over the instances.

    Owns one connection to each instance, the session token, and the ids of the
    records acknowledged to the caller.

    Parameters
    ----------
    profile : CallerProfile
        Who calls.
    instances : list of str
        ``IP:port`` of the instances; each call goes to the next one.
    delay : float
        Seconds between caller and instance, one way.
    start, end : float
        Monotonic times at which the load starts, and after which no call is made.
    inbox : trio.MemoryReceiveChannel
        Operations.
    records : trio.MemorySendChannel
        Takes one `OperationRecord` for each operation.
    """

    def __init__(
        self,
        profile: CallerProfile,
        instances: list[str],
        delay: float,
        start: float,
        end: float,
        inbox: MemoryReceiveChannel[ScheduledOperation],
        records: MemorySendChannel[OperationRecord],
    ) -> None:
        self._profile = profile
        self._connections = [HttpConnection(address) for address in instances]
        self._next_connection = cycle(self._connections)
        self._delay = delay
        self._start = start
        self._end = end
        self._inbox = inbox
        self._records = records
        self._token = ""
        self._own_by_database: defaultdict[str, set[str]] = defaultdict(set)

    async def run(self) -> None:
        """Carry out operations until the inbox closes."""
        try:
            with self._records:
                async for scheduled in self._inbox:
                    await self._records.send(await self._perform(scheduled))
        finally:
            for connection in self._connections:
                await connection.aclose()

    async def _perform(self, scheduled: ScheduledOperation) -> OperationRecord:
        profile = self._profile
        call = prepare_call(scheduled.operation, profile.name, scheduled.id)
        attempts: list[Attempt] = []
        body: AnswerBody = {}
        began = current_time()
        give_up = min(began + GIVE_UP_S, self._end)
        while current_time() < give_up and _repeats(call, attempts):
            await sleep(_backoff(attempts, len(self._connections)))
            attempt, body = await self._attempt(scheduled, call)
            attempts.append(attempt)
        record = OperationRecord(
            id=scheduled.id,
            kind=type(scheduled.operation).__name__,
            call=call,
            caller=profile.name,
            workspace=profile.workspace,
            database=scheduled.database,
            due=scheduled.due,
            finished=current_time() - self._start,
            outcome=_outcome(attempts),
            attempts=tuple(attempts),
            started=began - self._start,
        )
        return self._judge(record, body)

    async def _attempt(
        self, scheduled: ScheduledOperation, call: PreparedCall
    ) -> tuple[Attempt, AnswerBody]:
        connection = next(self._next_connection)
        target, body, headers = encode_call(
            scheduled.database, scheduled.id, call, self._profile.key, self._token
        )
        await sleep(self._delay)
        reply = await connection.call("POST", target, body, headers, CALL_TIMEOUT_S)
        await sleep(self._delay)
        self._token = reply.headers.get("session-token", self._token)
        return _read_reply(connection.address, reply)

    def _judge(self, record: OperationRecord, body: AnswerBody) -> OperationRecord:
        if record.outcome is not Outcome.ACKNOWLEDGED:
            return record
        results = body.get("results", [])
        rows = results[-1].get("rows", []) if results else []
        own = self._own_by_database[record.database]
        missing: tuple[str, ...] = ()
        if record.call.reads_own:
            missing = tuple(sorted(own - {row[1] for row in rows if len(row) > 1}))
        effective = record.call.binding and bool(results and results[0].get("changes"))
        if effective:
            own.add(record.id)
        return record._replace(
            role=body.get("role", ""),
            effective=effective,
            marker_matches=bool(rows) and all(row[0] == record.id for row in rows),
            missing=missing,
        )


def _read_reply(address: str, reply: ClientReply) -> tuple[Attempt, AnswerBody]:
    if not reply.status:
        code, ran = ("no_answer", "unknown") if reply.sent else ("no_connection", "")
        return Attempt(address, 0, code, ran or "not_run"), {}
    decoded = decode_json(reply.body, AnswerBody)
    if decoded.is_error():
        return Attempt(address, reply.status, "unreadable_answer", "unknown"), {}
    if reply.status == 200:
        return Attempt(address, 200, "", ""), decoded.ok
    body = decoded.ok
    code, ran = body.get("code", "no_code"), body.get("ran", "unknown")
    return Attempt(address, reply.status, code, ran), body


def _repeats(call: PreparedCall, attempts: list[Attempt]) -> bool:
    if not attempts:
        return True
    last = attempts[-1]
    if not last.code or last.code in FINAL_CODES or len(attempts) >= MAX_ATTEMPTS:
        return False
    if last.code == "no_connection":
        return True
    unknown = any(attempt.ran == "unknown" for attempt in attempts)
    return last.ran != "ran" and unknown


def _backoff(attempts: list[Attempt], instances: int) -> float:
    """Return seconds to wait; another instance may be tried at once."""
    if not attempts:
        return 0.0
    refused = all(attempt.code == "no_connection" for attempt in attempts)
    if refused and len(attempts) < instances:
        return 0.0
    return min(BACKOFF_S * len(attempts), MAX_BACKOFF_S)


def _outcome(attempts: list[Attempt]) -> Outcome:
    if not attempts:
        return Outcome.DROPPED
    last = attempts[-1]
    if not last.code:
        return Outcome.ACKNOWLEDGED
    final = last.code in FINAL_CODES or last.ran == "ran"
    if not final and any(attempt.ran == "unknown" for attempt in attempts):
        return Outcome.UNKNOWN
    return Outcome.REFUSED
