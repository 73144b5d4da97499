"""Components of one owner, and the effects of promotions on them."""

from functools import singledispatchmethod
from random import Random

from absl import logging
from trio import MemorySendChannel, Nursery

from jackdawspread.decisions.owner.member_call import MemberCall
from jackdawspread.decisions.owner.member_control_call import MemberControlCall
from jackdawspread.decisions.owner.primary_suspected import PrimarySuspected
from jackdawspread.decisions.owner.promotion_failed import PromotionFailed
from jackdawspread.decisions.owner.promotion_started import PromotionStarted
from jackdawspread.decisions.owner.promotion_state import can_acknowledge_writes
from jackdawspread.decisions.owner.send_follow import SendFollow
from jackdawspread.decisions.owner.send_open import SendOpen
from jackdawspread.decisions.owner.send_prepare import SendPrepare
from jackdawspread.decisions.owner.statement_call import StatementCall
from jackdawspread.decisions.owner.suspicion_cleared import SuspicionCleared
from jackdawspread.decisions.owner.term_started import TermStarted
from jackdawspread.messages.http_outcome import HttpOutcome
from jackdawspread.messages.term_announcement import TermAnnouncement
from jackdawspread.settings.database_settings import DatabaseSettings
from jackdawspread.tasks.confirmer import Confirmer
from jackdawspread.tasks.connection_manager import ConnectionManager
from jackdawspread.tasks.connection_task import ConnectionFactory
from jackdawspread.tasks.member_pools import MemberPools
from jackdawspread.tasks.member_selector import MemberSelector
from jackdawspread.tasks.outcome_handler import OutcomeHandler
from jackdawspread.tasks.owner_components import OwnerComponents
from jackdawspread.tasks.owner_metrics import FAILOVER_GAP, FALSE_ALARMS, PROMOTIONS
from jackdawspread.tasks.owner_policy import OwnerPolicy
from jackdawspread.tasks.pending_replies import PendingReplies
from jackdawspread.tasks.promotion_controller import PromotionController
from jackdawspread.tasks.request_scheduler import RequestScheduler
from jackdawspread.tasks.request_sender import RequestSender
from jackdawspread.tasks.transaction_table import TransactionTable


class OwnerCore:
    """Creates the components of one owner and applies the effects of promotions.

    Parameters
    ----------
    settings, incarnation, policy, random, make_connection
        As in `DatabaseOwner`.
    nursery : trio.Nursery
        Runs the connection tasks.
    outcomes : trio.MemorySendChannel
        Channel for the outcomes of calls.
    """

    def __init__(
        self,
        settings: DatabaseSettings,
        incarnation: str,
        nursery: Nursery,
        outcomes: MemorySendChannel[HttpOutcome],
        make_connection: ConnectionFactory,
        policy: OwnerPolicy,
        random: Random,
    ) -> None:
        self._settings = settings
        self._policy = policy
        connections = ConnectionManager(nursery, outcomes, make_connection)
        pools = MemberPools(settings, incarnation, connections)
        confirmer = Confirmer(settings.member_addresses, pools, connections)
        prefix = f"{incarnation}.{settings.name}"
        transactions = TransactionTable(prefix, pools)
        member_selector = MemberSelector(pools, transactions)
        replies = PendingReplies(settings.name, transactions, nursery)
        self.components = OwnerComponents(
            connections, pools, confirmer, transactions, member_selector, replies
        )
        self.promotion_controller = PromotionController(
            settings, incarnation, connections, random, policy.is_independent
        )
        self.sender = RequestSender(self.components, policy.replica_reads)
        self.outcome_handler = OutcomeHandler(
            self.components, self.sender, policy.retries
        )
        self.scheduler = RequestScheduler(
            policy.queue, self.components, self.sender, self.outcome_handler
        )
        self.announcement: TermAnnouncement | None = None

    def record_probe_outcome(
        self, call: MemberControlCall, outcome: HttpOutcome
    ) -> None:
        """Record the positions that a probe reported."""
        status = self.promotion_controller.state.status_by_member.get(call.address)
        if call.step == "status" and outcome.status == 200 and status is not None:
            self.components.confirmer.record_probe(status)
            self.components.member_selector.record_probe(
                status, self.promotion_controller.state
            )

    def drop_transactions(self, now: float) -> None:
        """Roll back the transactions that must not continue."""
        self.components.transactions.drop_expired(now)
        if can_acknowledge_writes(self.promotion_controller.state):
            self.components.transactions.drop_replaced_terms(
                self.promotion_controller.state.term
            )

    @singledispatchmethod
    def apply(self, effect: object, now: float) -> None:
        """Apply an effect of the promotion state machine.

        Raises
        ------
        TypeError
            If the type of the effect is unknown.
        """
        raise TypeError(f"owner cannot apply {type(effect).__name__}")

    @apply.register
    def _(self, effect: SendPrepare | SendOpen | SendFollow, now: float) -> None:
        logging.info(
            "owner: step database=%s step=%s member=%s term=%d",
            self._settings.name,
            type(effect).__name__,
            effect.address,
            effect.term,
        )

    @apply.register
    def _(self, effect: TermStarted, now: float) -> None:
        name = self._settings.name
        logging.info(
            "owner: term in force database=%s term=%d primary=%s promoted=%s gap_ms=%d",
            name,
            effect.term,
            effect.primary,
            effect.is_promotion,
            round(effect.failover_gap * 1000),
        )
        if effect.is_promotion:
            PROMOTIONS.labels(name, "ok").inc()
        if effect.failover_gap:
            FAILOVER_GAP.labels(name).observe(effect.failover_gap)
        self.announcement = TermAnnouncement(name, effect.term, effect.primary)
        for address in self._settings.member_addresses:
            self.components.pools.set_min_idle(address, 0)
        self.outcome_handler.enter_term(effect.term, effect.primary, now)
        for connection in self.sender.connections_to_replaced(effect.primary):
            self._fail_call(self.components.connections.close(connection), now)
        self.drop_transactions(now)

    @apply.register
    def _(self, effect: PromotionStarted, now: float) -> None:
        logging.info(
            "owner: promotion started database=%s term=%d reason=%s",
            self._settings.name,
            effect.term,
            effect.reason,
        )

    @apply.register
    def _(self, effect: PromotionFailed, now: float) -> None:
        PROMOTIONS.labels(self._settings.name, "failed").inc()
        logging.warning(
            "owner: promotion failed database=%s term=%d reason=%s",
            self._settings.name,
            effect.term,
            effect.reason,
        )

    @apply.register
    def _(self, effect: PrimarySuspected, now: float) -> None:
        logging.info("owner: primary suspected member=%s", effect.address)
        if not self._policy.prewarm_on_suspicion:
            return
        state = self.promotion_controller.state
        others = [
            status
            for status in state.status_by_member.values()
            if status.address != effect.address
        ]
        if others:
            likely = max(others, key=lambda status: status.position)
            self.components.pools.set_min_idle(likely.address, self._settings.slots + 1)
            self.components.pools.maintain(now)
        self.promotion_controller.probe_now()

    @apply.register
    def _(self, effect: SuspicionCleared, now: float) -> None:
        FALSE_ALARMS.labels(self._settings.name).inc()
        self.components.pools.set_min_idle(effect.address, 0)
        logging.info("owner: false alarm member=%s", effect.address)

    def _fail_call(self, call: MemberCall | None, now: float) -> None:
        if isinstance(call, StatementCall):
            self.outcome_handler.fail_statement(call, now)
