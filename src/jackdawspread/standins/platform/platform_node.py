"""Task that owns the platform's state and answers requests."""

from collections import deque
from functools import singledispatchmethod
from typing import Any

from absl import logging
from trio import (
    BrokenResourceError,
    MemoryReceiveChannel,
    MemorySendChannel,
    Nursery,
    current_time,
    open_nursery,
    sleep,
)

from jackdawspread.messages.http_response import HttpResponse
from jackdawspread.standins.platform.check_instance import check_instance
from jackdawspread.standins.platform.connect_check_result import ConnectCheckResult
from jackdawspread.standins.platform.decide_transact import decide_transact
from jackdawspread.standins.platform.instance_list import (
    InstanceList,
    list_at,
    record_check,
    register,
)
from jackdawspread.standins.platform.platform_codec import (
    encode_platform_answer,
    encode_platform_error,
)
from jackdawspread.standins.platform.platform_state import PlatformState
from jackdawspread.standins.platform.platform_submission import PlatformSubmission
from jackdawspread.standins.platform.rate_window import RateWindow, admit
from jackdawspread.standins.platform.requests.get_object import GetObject
from jackdawspread.standins.platform.requests.list_instances import ListInstances
from jackdawspread.standins.platform.requests.platform_fault import PlatformFault
from jackdawspread.standins.platform.requests.put_object import PutObject
from jackdawspread.standins.platform.requests.read_rows import ReadRows
from jackdawspread.standins.platform.requests.register_instance import RegisterInstance
from jackdawspread.standins.platform.requests.transact import Transact
from jackdawspread.standins.platform.row import Row

WRITES_PER_S = 300
READS_PER_S = 2000
CHECK_INTERVAL_S = 1.0
WRITE_REQUESTS = (Transact, PutObject, RegisterInstance)


class PlatformNode:
    """Task that owns the table, the objects, the instance list and the fault mode.

    Parameters
    ----------
    inbox : trio.MemoryReceiveChannel
        Requests of the connections and results of connect checks.
    events : trio.MemorySendChannel
        Sending side of the inbox, passed to the connect checks.
    check_interval : float
        Seconds between two connect checks of an instance.
    """

    def __init__(
        self,
        inbox: MemoryReceiveChannel[Any],
        events: MemorySendChannel[Any],
        check_interval: float = CHECK_INTERVAL_S,
    ) -> None:
        self._inbox = inbox
        self._events = events
        self._check_interval = check_interval
        self._state = PlatformState({}, {}, 0)
        self._instances = InstanceList({}, deque())
        self._fault = PlatformFault("up", 0.0, 0.0)
        self._writes = RateWindow(WRITES_PER_S, deque())
        self._reads = RateWindow(READS_PER_S, deque())

    async def run(self) -> None:
        """Handle events until cancelled."""
        async with open_nursery() as nursery:
            nursery.start_soon(self._check_instances)
            async for event in self._inbox:
                self._on_event(event, nursery)

    async def _check_instances(self) -> None:
        while True:
            async with open_nursery() as checks:
                checks.start_soon(sleep, self._check_interval)
                for address in tuple(self._instances.record_by_address):
                    checks.start_soon(check_instance, address, self._events)

    @singledispatchmethod
    def _on_event(self, event: object, nursery: Nursery) -> None:
        raise TypeError(f"platform cannot handle {type(event).__name__}")

    @_on_event.register
    def _(self, event: ConnectCheckResult, nursery: Nursery) -> None:
        record_check(self._instances, event.address, event.is_reachable, current_time())

    @_on_event.register
    def _(self, event: PlatformSubmission, nursery: Nursery) -> None:
        mode = self._fault.mode
        if isinstance(event.request, PlatformFault) or mode in ("up", "lose_answers"):
            self._execute(event)
        elif mode == "slow":
            nursery.start_soon(self._execute_after_delay, event)
        elif self._fault.close:
            event.reply_to.close()

    async def _execute_after_delay(self, event: PlatformSubmission) -> None:
        await sleep((self._fault.delay_ms or 0.0) / 1000)
        self._execute(event)

    def _execute(self, event: PlatformSubmission) -> None:
        response = self._answer_within_limit(event.request)
        if self._fault.mode == "lose_answers" and isinstance(
            event.request, WRITE_REQUESTS
        ):
            event.reply_to.close()
            return
        try:
            event.reply_to.send_nowait(response)
        except BrokenResourceError:
            return

    def _answer_within_limit(self, request: object) -> HttpResponse:
        if not isinstance(request, PlatformFault):
            window = (
                self._writes if isinstance(request, WRITE_REQUESTS) else self._reads
            )
            if not admit(window, current_time()):
                detail = f"more than {window.limit} calls of this kind within a second"
                return encode_platform_error(429, "rate_limited", detail)
        return self._answer(request)

    @singledispatchmethod
    def _answer(self, request: object) -> HttpResponse:
        raise TypeError(f"platform cannot answer {type(request).__name__}")

    @_answer.register
    def _(self, request: ReadRows) -> HttpResponse:
        rows = self._state.row_by_key
        found = {key: rows[key] for key in request.keys if key in rows}
        if request.prefix is not None:
            prefix = request.prefix
            found |= {key: row for key, row in rows.items() if key.startswith(prefix)}
        return encode_platform_answer(200, {"rows": _row_documents(found)})

    @_answer.register
    def _(self, request: Transact) -> HttpResponse:
        self._state, decided = decide_transact(self._state, request)
        if decided.is_ok():
            return encode_platform_answer(200, {"versions": decided.ok})
        body = {
            "code": "version_conflict",
            "detail": "a row does not have the expected version",
        }
        rows = _row_documents(decided.error)
        return encode_platform_answer(409, {**body, "rows": rows})

    @_answer.register
    def _(self, request: PutObject) -> HttpResponse:
        self._state.object_by_name[request.name] = request.content
        return encode_platform_answer(200, {})

    @_answer.register
    def _(self, request: GetObject) -> HttpResponse:
        content = self._state.object_by_name.get(request.name)
        if content is None:
            return encode_platform_error(404, "not_found", request.name)
        return HttpResponse(200, (("Content-Type", "application/json"),), content)

    @_answer.register
    def _(self, request: RegisterInstance) -> HttpResponse:
        if request.state not in ("live", "leaving"):
            detail = f"state {request.state} is not live or leaving"
            return encode_platform_error(400, "malformed_request", detail)
        register(
            self._instances,
            {
                "address": request.address,
                "failure_domain": request.failure_domain,
                "state": request.state,
            },
            current_time(),
        )
        return encode_platform_answer(200, {})

    @_answer.register
    def _(self, request: ListInstances) -> HttpResponse:
        lag = (self._fault.list_lag_ms or 0.0) / 1000
        listed = list_at(self._instances, current_time() - lag)
        return encode_platform_answer(200, {"instances": listed})

    @_answer.register
    def _(self, request: PlatformFault) -> HttpResponse:
        delay, lag = request.delay_ms, request.list_lag_ms
        self._fault = request._replace(
            delay_ms=self._fault.delay_ms if delay is None else delay,
            list_lag_ms=self._fault.list_lag_ms if lag is None else lag,
        )
        logging.info("platform: fault mode=%s", request.mode)
        return encode_platform_answer(200, {})


def _row_documents(rows: dict[str, Row]) -> dict[str, dict[str, Any]]:
    return {key: row._asdict() for key, row in rows.items()}
