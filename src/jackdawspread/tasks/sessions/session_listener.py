"""Accepts connections of callers."""

from collections.abc import Callable
from functools import partial

from absl import logging
from trio import (
    BrokenResourceError,
    CancelScope,
    ClosedResourceError,
    MemorySendChannel,
    Nursery,
    SocketListener,
    SocketStream,
    current_time,
    open_nursery,
)

from jackdawspread.decisions.sessions.session_shutdown import refuse_stopping
from jackdawspread.messages.execution_status import ExecutionStatus
from jackdawspread.messages.fleet.acknowledgement_event import AcknowledgementEvent
from jackdawspread.messages.fleet.admission_event import AdmissionEvent
from jackdawspread.messages.fleet.router_event import RouterEvent
from jackdawspread.messages.pool_hosts.lease_broker_event import LeaseBrokerEvent
from jackdawspread.messages.refusal import Refusal
from jackdawspread.settings.stop_times import StopTimes
from jackdawspread.tasks.accept import accept
from jackdawspread.tasks.end_stream import end_stream
from jackdawspread.tasks.limits.memory_account import MemoryAccount
from jackdawspread.tasks.limits.memory_budget import TOO_MANY, MemoryBudget
from jackdawspread.tasks.open_stream import enable_dead_peer_detection
from jackdawspread.tasks.pool_hosts.pool_server import PART as STREAM_PART
from jackdawspread.tasks.run_isolated import call_isolated, run_isolated
from jackdawspread.tasks.sessions.caller_session import (
    PART,
    WRITE_TIMEOUT_S,
    CallerSession,
)
from jackdawspread.tasks.sessions.session_codec import SessionCodec
from jackdawspread.tasks.sessions.session_end_log import SessionEndLog
from jackdawspread.tasks.sessions.session_metrics import SESSIONS

# Memory of an idle session, with its task and its socket.
IDLE_BYTES = 12 * 1024
# The kernel allows a caller as much time to take an answer as the session does. The
# limit between processes would end the connection of one that only reads slowly.
CALLER_USER_TIMEOUT_MS = int(1000 * WRITE_TIMEOUT_S)
OVERLOADED = Refusal(
    "busy",
    ExecutionStatus.NOT_RUN,
    "admission",
    "",
    "the instance has reached its limit of open sessions",
    1000,
)


class SessionListener:
    """Accepts callers and ends their sessions at a graceful shutdown.

    Parameters
    ----------
    listener : trio.SocketListener
        Listening socket, owned by this task.
    make_codec : callable
        Returns a codec for a new session.
    admission, broker, router : trio.MemorySendChannel
        Inboxes of the admission task, the lease broker and the member router.
    max_sessions : int
        Limit of connections that are accepted at the same time on all ports.
    budget : MemoryBudget
        Memory of all connections.
    acknowledgements : trio.MemorySendChannel
        Inbox of the acknowledgement task.
    """

    def __init__(
        self,
        listener: SocketListener,
        make_codec: Callable[[], SessionCodec],
        admission: MemorySendChannel[AdmissionEvent],
        broker: MemorySendChannel[LeaseBrokerEvent],
        router: MemorySendChannel[RouterEvent],
        max_sessions: int,
        budget: MemoryBudget,
        acknowledgements: MemorySendChannel[AcknowledgementEvent],
    ) -> None:
        self._acknowledgements = acknowledgements
        self._budget = budget
        self._listener = listener
        self._make_codec = make_codec
        self._admission = admission
        self._broker = broker
        self._router = router
        self._max_sessions = max_sessions
        self._ends = SessionEndLog()
        self._sessions: set[CallerSession] = set()
        self._stop_times: StopTimes | None = None

    async def run(self) -> None:
        """Accept callers until cancelled."""
        async with open_nursery() as sessions:
            # The socket is closed before the sessions end. The kernel then refuses new
            # connections, which would otherwise wait without being accepted.
            with self._listener.socket:
                try:
                    await self._accept(sessions)
                finally:
                    with CancelScope(shield=True, deadline=current_time() + 1):
                        await self._refuse_waiting()

    async def _refuse_waiting(self) -> None:
        """Refuse at the exit what the kernel has accepted, and close the listener."""
        async with open_nursery() as refused:
            while self._listener.socket.is_readable():
                stream = await accept(self._listener, "listener")
                reject = partial(_reject, stream, self._make_codec(), refuse_stopping())
                refused.start_soon(run_isolated, PART, reject)
            self._listener.socket.close()

    async def _accept(self, sessions: Nursery) -> None:
        while True:
            stream = await accept(self._listener, "listener")
            if not call_isolated(PART, self._start, stream, sessions):
                sessions.start_soon(run_isolated, PART, stream.aclose)

    @property
    def has_callers(self) -> bool:
        """Whether a session is open, or a connection waits to be accepted."""
        return bool(self._sessions) or self._listener.socket.is_readable()

    @property
    def session_count(self) -> int:
        """Number of open sessions."""
        return len(self._sessions)

    def stop(self, times: StopTimes) -> None:
        """End the open sessions, and those that callers still open, by a schedule.

        The load balancer sends new callers until it notices the shutdown, and also
        later if no other instance is ready, so callers are accepted until the exit.
        """
        self._stop_times = times
        for session in self._sessions:
            session.stop(times)

    def _start(self, stream: SocketStream, sessions: Nursery) -> None:
        enable_dead_peer_detection(stream, CALLER_USER_TIMEOUT_MS)
        is_full = self._budget.count(PART, STREAM_PART) >= self._max_sessions
        if is_full and not self._make_room():
            self._budget.refuse(PART, TOO_MANY)
            sessions.start_soon(
                run_isolated,
                "session",
                partial(_reject, stream, self._make_codec(), OVERLOADED),
            )
            return
        account = self._budget.open_account(PART, IDLE_BYTES)
        session = CallerSession(
            stream,
            self._make_codec(),
            self._admission,
            self._broker,
            self._router,
            self._budget,
            account,
            self._ends,
            self._acknowledgements,
        )
        if self._stop_times is not None:
            session.stop(self._stop_times)
        self._sessions.add(session)
        sessions.start_soon(run_isolated, PART, partial(self._serve, session, account))

    def _make_room(self) -> bool:
        """Close a connection that waits for its client, for a new session."""
        return self._budget.make_room(PART) or self._budget.make_room(STREAM_PART)

    async def _serve(self, session: CallerSession, account: MemoryAccount) -> None:
        SESSIONS.set(len(self._sessions))
        try:
            await session.run()
        finally:
            self._budget.close_account(account)
            self._sessions.discard(session)
            SESSIONS.set(len(self._sessions))


async def _reject(stream: SocketStream, codec: SessionCodec, refusal: Refusal) -> None:
    async with stream:
        try:
            await stream.send_all(codec.encode_handshake_reply(refusal))
            await end_stream(stream)
        except (BrokenResourceError, ClosedResourceError) as error:
            logging.vlog(1, "listener: refused caller is gone reason=%r", error)
