"""Task that owns one database.

Each database has three owners, ordered by rank, each on another instance. The first
live one is active: it queues the requests, sends them to the members and promotes a
new primary if the primary fails. The others are standby.
"""

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
from jackdawspread.messages.open_work_query import OpenWorkQuery
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

OwnerEvent = (
    RoutedSubmission
    | OwnerAssignment
    | ControlSnapshot
    | TermAnnouncement
    | OpenWorkQuery
)

TICK_INTERVAL_SECONDS = 0.05
IDLE_TICK_INTERVAL_SECONDS = 1.0
# A standby owner probes at the full rate for this long after a request.
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
        Requests, and assignments, snapshots and terms from the control task.
    outbox : trio.MemorySendChannel
        Channel that announces new terms to the control task. While it is full, the
        latest announcement waits.
    experiment : ExperimentSettings
        Policies that an experiment selects; the default is the normal operation.
    random : random.Random or None
        Source of jitter.
    make_connection : callable
        Creates the task of a connection to a member.
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
        self._assignment = OwnerAssignment(settings.name, 0, -1, False, 0)
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
            call = self._core.components.connections.pop_call(outcome)
            if call is not None:
                self._handle_outcome(call, outcome, now)
                self._dispatch_ready(now)

    async def _tick(self) -> None:
        core = self._core
        while True:
            now = current_time()
            is_full_rate = (
                self._assignment.is_active or now < self._recent_requests_until
            )
            is_full_rate = is_full_rate or self._policy.is_independent
            core.promotion_controller.set_has_recent_requests(
                now < self._recent_requests_until
            )
            if self._is_serving():
                self._apply(core.promotion_controller.tick(now), now)
            elif core.scheduler.is_idle():
                core.components.pools.set_limit(0)
            core.scheduler.expire(now)
            core.components.pools.maintain(now)
            core.drop_transactions(now)
            QUEUE_LENGTH.labels(self._settings.name).set(core.scheduler.queue_length())
            self._dispatch_ready(now)
            is_busy = is_full_rate or not core.scheduler.is_idle()
            self._wake = Event()
            with move_on_after(
                TICK_INTERVAL_SECONDS if is_busy else IDLE_TICK_INTERVAL_SECONDS
            ):
                await self._wake.wait()

    def _dispatch_ready(self, now: float) -> None:
        core = self._core
        core.outcome_handler.acknowledge(core.promotion_controller.state, now)
        if self._snapshot is not None:
            core.scheduler.dispatch(
                core.promotion_controller.state, self._snapshot, now
            )
        if core.announcement is not None:
            try:
                self._outbox.send_nowait(core.announcement)
                core.announcement = None
            except (BrokenResourceError, WouldBlock):
                return

    def _is_serving(self) -> bool:
        """Return whether requests may run here; an independent owner needs no rank."""
        has_connections = self._assignment.connection_limit > 0
        return self._assignment.rank >= 0 or (
            self._policy.is_independent and has_connections
        )

    @singledispatchmethod
    def _handle(self, event: object, now: float) -> None:
        raise TypeError(f"owner cannot handle {type(event).__name__}")

    @_handle.register
    def _(self, event: RoutedSubmission, now: float) -> None:
        is_serving = self._is_serving()
        is_standby = is_serving and not self._assignment.is_active
        if is_standby and not self._policy.is_independent:
            if now >= self._recent_requests_until:
                self._wake.set()
            self._recent_requests_until = now + RECENT_REQUEST_SECONDS
        self._core.scheduler.submit(event, self._snapshot, is_serving, now)
        self._dispatch_ready(now)

    @_handle.register
    def _(self, event: OwnerAssignment, now: float) -> None:
        logging.info(
            "owner: rank assigned database=%s generation=%d seat=%d active=%s limit=%d",
            event.database,
            event.generation,
            event.rank,
            event.is_active,
            event.connection_limit,
        )
        self._assignment = event
        self._apply(self._core.promotion_controller.handle(event, now), now)
        if self._is_serving():
            self._core.components.pools.set_limit(event.connection_limit)
        else:
            self._core.promotion_controller.stop()
            self._core.scheduler.refuse_all_queued(now)
        self._wake.set()

    @_handle.register
    def _(self, event: ControlSnapshot, now: float) -> None:
        self._snapshot = event
        self._dispatch_ready(now)

    @_handle.register
    def _(self, event: TermAnnouncement, now: float) -> None:
        self._apply(self._core.promotion_controller.handle(event, now), now)
        # The control task sent this term, so it needs no announcement.
        self._core.announcement = None
        self._dispatch_ready(now)

    @_handle.register
    def _(self, event: OpenWorkQuery, now: float) -> None:
        event.reply_to.send_nowait(not self._core.scheduler.is_idle())

    def _apply(self, effects: list[PromotionEffect], now: float) -> None:
        for effect in effects:
            self._core.apply(effect, now)

    @singledispatchmethod
    def _handle_outcome(self, call: object, outcome: HttpOutcome, now: float) -> None:
        raise TypeError(f"owner cannot handle the outcome of {type(call).__name__}")

    @_handle_outcome.register
    def _(self, call: MemberControlCall, outcome: HttpOutcome, now: float) -> None:
        self._apply(
            self._core.promotion_controller.handle_outcome(call, outcome, now), now
        )
        self._core.record_probe_outcome(call, outcome)

    @_handle_outcome.register
    def _(self, call: StatementCall, outcome: HttpOutcome, now: float) -> None:
        self._core.outcome_handler.handle_statement_outcome(call, outcome, now)

    @_handle_outcome.register
    def _(self, call: ConfirmCall, outcome: HttpOutcome, now: float) -> None:
        if self._core.components.confirmer.handle_outcome(call, outcome, now):
            self._core.components.member_selector.record_log_position(
                call.address, call.position
            )

    @_handle_outcome.register
    def _(self, call: PoolMaintenanceCall, outcome: HttpOutcome, now: float) -> None:
        self._core.components.pools.handle_outcome(call, outcome, now)
