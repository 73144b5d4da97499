"""Handler of callers' HTTP requests, probes and metrics."""

from prometheus_client import generate_latest
from trio import Event, MemorySendChannel, WouldBlock, current_time, open_memory_channel

from jackdawspread.codecs.caller_replies import encode_caller_reply, encode_refusal
from jackdawspread.codecs.caller_requests import decode_caller_request
from jackdawspread.messages.caller_reply import CallerReply
from jackdawspread.messages.caller_submission import CallerSubmission
from jackdawspread.messages.execution_status import ExecutionStatus
from jackdawspread.messages.http_request import HttpRequest
from jackdawspread.messages.http_response import HttpResponse
from jackdawspread.messages.readiness import Readiness
from jackdawspread.messages.readiness_query import ReadinessQuery
from jackdawspread.messages.refusal import Refusal

TEXT_HEADERS = (("Content-Type", "text/plain; version=0.0.4"),)


class CallerHandler:
    """Answers callers' HTTP requests by submitting them to the gateway.

    Parameters
    ----------
    gateway : trio.MemorySendChannel
        Inbox of the gateway.
    stopping : trio.Event
        Set when the instance shuts down; the readiness probe then fails.
    """

    def __init__(
        self,
        gateway: MemorySendChannel[CallerSubmission | ReadinessQuery],
        stopping: Event,
    ) -> None:
        self._gateway = gateway
        self._stopping = stopping

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request; runs in the caller's connection task."""
        if request.target == "/healthz":
            return HttpResponse(200, TEXT_HEADERS, b"ok\n")
        if request.target == "/readyz":
            return await self._readiness()
        if request.target == "/metrics":
            return HttpResponse(200, TEXT_HEADERS, generate_latest())
        decoded = decode_caller_request(request, current_time())
        if decoded.is_error():
            return encode_refusal(decoded.error)
        send, receive = open_memory_channel[CallerReply](1)
        try:
            self._gateway.send_nowait(CallerSubmission(decoded.ok, send))
        except WouldBlock:
            detail = "the instance is overloaded; retry later"
            return encode_refusal(
                Refusal(
                    "overloaded", ExecutionStatus.NOT_RUN, "admission", "", detail, 1000
                )
            )
        return encode_caller_reply(await receive.receive(), decoded.ok.offset)

    async def _readiness(self) -> HttpResponse:
        if self._stopping.is_set():
            return HttpResponse(503, TEXT_HEADERS, b"stopping\n")
        send, receive = open_memory_channel[Readiness](1)
        try:
            self._gateway.send_nowait(ReadinessQuery(send))
        except WouldBlock:
            return HttpResponse(503, TEXT_HEADERS, b"overloaded\n")
        readiness = await receive.receive()
        if not readiness.has_authority:
            return HttpResponse(503, TEXT_HEADERS, b"no authority\n")
        return HttpResponse(200, TEXT_HEADERS, b"ready\n")
