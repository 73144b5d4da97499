"""Owner of one database."""

from functools import singledispatchmethod
from random import Random

from absl import logging
from trio import (
    BrokenResourceError,
    Event,
    MemoryReceiveChannel,
    MemorySendChannel,
    WouldBlock,
    current_time,
    move_on_after,
    open_memory_channel,
    open_nursery,
)

from jackdawspread.decisions.owner.confirm_call import ConfirmCall
from jackdawspread.decisions.owner.member_control_call import MemberControlCall
from jackdawspread.decisions.owner.pool_maintenance_call import PoolMaintenanceCall
from jackdawspread.decisions.owner.promotion_effect import PromotionEffect
from jackdawspread.decisions.owner.statement_call import StatementCall
from jackdawspread.messages.control_snapshot import ControlSnapshot
from jackdawspread.messages.http_outcome import HttpOutcome
from jackdawspread.messages.owner_assignment import OwnerAssignment
from jackdawspread.messages.routed_submission import RoutedSubmission
from jackdawspread.messages.term_announcement import TermAnnouncement
from jackdawspread.settings.database_settings import DatabaseSettings
from jackdawspread.settings.experiment_settings import (
    DEFAULT_EXPERIMENT,
    ExperimentSettings,
)
from jackdawspread.tasks.connection_task import ConnectionFactory
from jackdawspread.tasks.http_client_connection import HttpClientConnection
from jackdawspread.tasks.owner_core import OwnerCore
from jackdawspread.tasks.owner_metrics import QUEUE_LENGTH
from jackdawspread.tasks.owner_policy import owner_policy

OwnerEvent = RoutedSubmission | OwnerAssignment | ControlSnapshot | TermAnnouncement

TICK_SECONDS = 0.05
IDLE_TICK_SECONDS = 1.0
# A holder that is not active probes at full rate this long after a request.
RECENT_REQUEST_SECONDS = 5.0


class DatabaseOwner:
    """Owns the queue, the connections and the promotions of one database.

    Parameters
    ----------
    settings : DatabaseSettings
        The database.
    incarnation : str
        Id of this process start.
    inbox : trio.MemoryReceiveChannel
        Requests, and what the control task knows.
    outbox : trio.MemorySendChannel
        Tells the control task of new terms; while it is full, the latest
        announcement waits.
    experiment : ExperimentSettings
        Policies; the default is the product's choice.
    random : random.Random or None
        Source of jitter.
    make_connection : callable
        Makes the task of a member connection.
    """

    def __init__(
        self,
        settings: DatabaseSettings,
        incarnation: str,
        inbox: MemoryReceiveChannel[OwnerEvent],
        outbox: MemorySendChannel[TermAnnouncement],
        *,
        experiment: ExperimentSettings = DEFAULT_EXPERIMENT,
        random: Random | None = None,
        make_connection: ConnectionFactory = HttpClientConnection,
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._inbox = inbox
        self._outbox = outbox
        self._policy = owner_policy(experiment)
        self._random = Random() if random is None else random
        self._make_connection = make_connection
        self._snapshot: ControlSnapshot | None = None
        self._seat = OwnerAssignment(settings.name, 0, -1, False, 0)
        self._recent_requests_until = 0.0
        self._wake = Event()

    async def run(self) -> None:
        """Handle events until cancelled."""
        # Each connection has at most one call in flight.
        limit = self._settings.connections * len(self._settings.member_addresses)
        outcomes, outcome_inbox = open_memory_channel[HttpOutcome](2 * limit + 64)
        async with open_nursery() as nursery:
            self._core = OwnerCore(
                self._settings,
                self._incarnation,
                nursery,
                outcomes,
                self._make_connection,
                self._policy,
                self._random,
            )
            nursery.start_soon(self._receive_outcomes, outcome_inbox)
            nursery.start_soon(self._tick)
            async for event in self._inbox:
                self._handle(event, current_time())

    async def _receive_outcomes(self, inbox: MemoryReceiveChannel[HttpOutcome]) -> None:
        async for outcome in inbox:
            now = current_time()
            call = self._core.parts.connections.take(outcome)
            if call is not None:
                self._finish(call, outcome, now)
                self._proceed(now)

    async def _tick(self) -> None:
        core = self._core
        while True:
            now = current_time()
            is_full_rate = self._seat.is_active or now < self._recent_requests_until
            is_full_rate = is_full_rate or self._policy.is_independent
            core.watch.set_has_recent_requests(now < self._recent_requests_until)
            if self._is_serving():
                self._apply(core.watch.tick(now), now)
            elif core.runner.is_idle():
                core.parts.pools.set_limit(0)
            core.runner.expire(now)
            core.parts.pools.maintain(now)
            core.drop_transactions(now)
            QUEUE_LENGTH.labels(self._settings.name).set(core.runner.queue_length())
            self._proceed(now)
            is_busy = is_full_rate or not core.runner.is_idle()
            self._wake = Event()
            with move_on_after(TICK_SECONDS if is_busy else IDLE_TICK_SECONDS):
                await self._wake.wait()

    def _proceed(self, now: float) -> None:
        core = self._core
        core.finisher.acknowledge(core.watch.state, now)
        if self._snapshot is not None:
            core.runner.dispatch(core.watch.state, self._snapshot, now)
        if core.announcement is not None:
            try:
                self._outbox.send_nowait(core.announcement)
                core.announcement = None
            except (BrokenResourceError, WouldBlock):
                return

    def _is_serving(self) -> bool:
        """Return whether requests may run here; an independent owner needs no seat."""
        has_connections = self._seat.connection_limit > 0
        return self._seat.rank >= 0 or (self._policy.is_independent and has_connections)

    @singledispatchmethod
    def _handle(self, event: object, now: float) -> None:
        raise TypeError(f"owner cannot handle {type(event).__name__}")

    @_handle.register
    def _(self, event: RoutedSubmission, now: float) -> None:
        has_seat = self._is_serving()
        is_standby = has_seat and not self._seat.is_active
        if is_standby and not self._policy.is_independent:
            if now >= self._recent_requests_until:
                self._wake.set()
            self._recent_requests_until = now + RECENT_REQUEST_SECONDS
        self._core.runner.submit(event, self._snapshot, has_seat, now)
        self._proceed(now)

    @_handle.register
    def _(self, event: OwnerAssignment, now: float) -> None:
        logging.info(
            "owner: seat assigned database=%s generation=%d seat=%d active=%s limit=%d",
            event.database,
            event.generation,
            event.rank,
            event.is_active,
            event.connection_limit,
        )
        self._seat = event
        self._apply(self._core.watch.handle(event, now), now)
        if self._is_serving():
            self._core.parts.pools.set_limit(event.connection_limit)
        else:
            self._core.watch.stop()
            self._core.runner.refuse_all_queued(now)
        self._wake.set()

    @_handle.register
    def _(self, event: ControlSnapshot, now: float) -> None:
        self._snapshot = event
        self._proceed(now)

    @_handle.register
    def _(self, event: TermAnnouncement, now: float) -> None:
        self._apply(self._core.watch.handle(event, now), now)
        # The control task already knows this term.
        self._core.announcement = None
        self._proceed(now)

    def _apply(self, effects: list[PromotionEffect], now: float) -> None:
        for effect in effects:
            self._core.apply(effect, now)

    @singledispatchmethod
    def _finish(self, call: object, outcome: HttpOutcome, now: float) -> None:
        raise TypeError(f"owner cannot finish {type(call).__name__}")

    @_finish.register
    def _(self, call: MemberControlCall, outcome: HttpOutcome, now: float) -> None:
        self._apply(self._core.watch.finish(call, outcome, now), now)
        self._core.learn(call, outcome)

    @_finish.register
    def _(self, call: StatementCall, outcome: HttpOutcome, now: float) -> None:
        self._core.finisher.handle_statement_outcome(call, outcome, now)

    @_finish.register
    def _(self, call: ConfirmCall, outcome: HttpOutcome, now: float) -> None:
        if self._core.parts.confirmer.finish(call, outcome, now):
            self._core.parts.placer.record_log_position(call.address, call.position)

    @_finish.register
    def _(self, call: PoolMaintenanceCall, outcome: HttpOutcome, now: float) -> None:
        self._core.parts.pools.finish(call, outcome, now)
