"""HTTP handler for readiness checks and metrics."""

from absl import logging
from prometheus_client import generate_latest
from trio import Event, MemorySendChannel, WouldBlock, open_memory_channel

from jackdawspread.messages.fleet.admission_event import AdmissionEvent
from jackdawspread.messages.fleet.readiness_check import ReadinessCheck
from jackdawspread.messages.http_request import HttpRequest
from jackdawspread.messages.http_response import HttpResponse

TEXT = (("Content-Type", "text/plain; version=0.0.4"),)


class ReadinessHandler:
    """Handles requests on the readiness and metrics addresses.

    Parameters
    ----------
    admission : trio.MemorySendChannel
        Inbox of the admission task.
    stopping : trio.Event
        Set when the instance begins to stop, after which it is not ready.
    """

    def __init__(
        self, admission: MemorySendChannel[AdmissionEvent], stopping: Event
    ) -> None:
        self._admission = admission
        self._stopping = stopping
        self._last_reason = "not asked"

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        if request.target == "/ready":
            reason = await self._not_ready_reason()
            if reason != self._last_reason:
                logging.info("readiness: changed reason=%r", reason or "ready")
                self._last_reason = reason
            status = 503 if reason else 200
            return HttpResponse(status, TEXT, f"{reason or 'ready'}\n".encode())
        if request.target == "/metrics":
            return HttpResponse(200, TEXT, generate_latest())
        return HttpResponse(404, TEXT, b"known paths: /ready, /metrics\n")

    async def _not_ready_reason(self) -> str:
        if self._stopping.is_set():
            return "the instance is stopping"
        send, receive = open_memory_channel[str](1)
        try:
            self._admission.send_nowait(ReadinessCheck(send))
        except WouldBlock:
            return "the instance is overloaded"
        return await receive.receive()
