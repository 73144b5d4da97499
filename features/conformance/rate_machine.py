"""Rate limiters of the instances compared with the model of rates."""

from unittest.mock import patch

from features.conformance.model_run import ModelRun
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from hypothesis.strategies import integers
from spec.rates import actions
from spec.rates.grant import Grant
from spec.rates.model import rate_and_burst
from spec.rates.rules import Rules
from spec.rates.state import State

from jackdawspread.decisions.rates import rate_limiter
from jackdawspread.decisions.rates.admit_request import AdmitRequest
from jackdawspread.decisions.rates.rate_bucket import RateBucket, refill
from jackdawspread.decisions.rates.rate_limiter import RateLimiter, decide_rate
from jackdawspread.decisions.rates.rate_share import RateShare
from jackdawspread.decisions.rates.rate_timer_fired import RateTimerFired
from jackdawspread.decisions.rates.request_arrived import RequestArrived
from jackdawspread.decisions.rates.send_spend_grant import SendSpendGrant
from jackdawspread.decisions.rates.send_spend_request import SendSpendRequest
from jackdawspread.decisions.rates.spend_grant_received import SpendGrantReceived
from jackdawspread.decisions.rates.spend_request_received import SpendRequestReceived

SHARE = RateShare(actions.SHARE_OF_RATE, actions.SHARE_OF_BURST)
# A tick of the model is half the lifetime of a grant; times are rounded to ticks.
TICKS_BY_CONSTANT = {
    name: round(getattr(rate_limiter, name) * actions.GRANT_TICKS / 0.05)
    for name in ("GRANT_LIFETIME_S", "BORROW_WAIT_S", "SPEND_ROUND_INTERVAL_S")
}
# In the code, a counted grant stops the refill up to its exact expiry; in the model,
# up to the tick of the expiry. One more tick makes both the same.
RULES = Rules(count_grant_ticks=actions.GRANT_TICKS + 1)
INSTANCES = integers(0, actions.INSTANCES - 1)


class RateMachine(RuleBasedStateMachine):
    """Delivers events to the limiters in any order and checks each admission.

    A spend request for several requests corresponds to as many grants of the model,
    of which the first ones are granted. The model refills at each tick, the code
    whenever it makes a decision.
    """

    def __init__(self) -> None:
        super().__init__()
        self.constants = patch.multiple(rate_limiter, **TICKS_BY_CONSTANT)
        self.constants.start()
        tokens = (actions.SHARE_OF_BURST,) * actions.INSTANCES
        self.model = ModelRun(State(tokens, (), 0), RULES)
        bucket = RateBucket(float(actions.SHARE_OF_BURST), 0.0)
        self.limiters = [RateLimiter(bucket) for _ in tokens]
        self.now = 0
        self.requests = 0
        self.spend_requests: list[tuple[int, SendSpendRequest, list[int]]] = []
        self.grants: list[tuple[int, SendSpendGrant, list[int]]] = []

    def teardown(self) -> None:
        """Restore the constants."""
        self.constants.stop()

    def decide(
        self, index: int, event: object, usable: list[int]
    ) -> list[SendSpendGrant]:
        """Let an instance decide, and the model take a step for each effect."""
        limiter = self.limiters[index]
        limiter, effects = decide_rate(event, limiter, SHARE, self.now)
        self.limiters[index] = limiter
        borrowed = [e for e in effects if e == AdmitRequest(e[0], "borrowed")]
        for _, slot in zip(borrowed, usable, strict=False):
            name = f"asker={index} id={slot}"
            assert self.model.try_step(actions.use_grant, name), name
        assert len(borrowed) <= len(usable), effects
        for effect in effects:
            if effect == AdmitRequest(effect[0], "own"):
                assert self.model.try_step(actions.admit, f"instance={index}"), effect
            if isinstance(effect, SendSpendRequest):
                self.add_spend_request(index, effect)
        return [effect for effect in effects if isinstance(effect, SendSpendGrant)]

    def add_spend_request(self, index: int, effect: SendSpendRequest) -> None:
        """Add a grant of the model for each request of a spend request.

        The model reuses the place of an unanswered spend request for the next one;
        here the place is kept, so that the spend request can still arrive.
        """
        state = self.model.state
        first = len(state.grants)
        added = (Grant(index, actions.GRANT_TICKS, None, 0),) * effect.requests
        self.model.state = state._replace(grants=state.grants + added)
        self.spend_requests.append(
            (index, effect, list(range(first, first + len(added))))
        )

    def count_in_time(self, index: int) -> int:
        """Return the number of waiting requests that are not overdue.

        The model never refuses; the code refuses overdue requests before it admits
        other ones.
        """
        return sum(r.deadline > self.now for r in self.limiters[index].waiting)

    def peers(self, index: int) -> tuple[str, ...]:
        """Return the only peer that an instance asks in the model."""
        return (str((index + 1) % actions.INSTANCES),)

    @rule(index=INSTANCES)
    def accept_request(self, index: int) -> None:
        """Let a request arrive; it must be admitted if the model has a token for it."""
        self.requests += 1
        id = str(self.requests)
        event = RequestArrived(id, self.now + 100.0, self.peers(index))
        expected = self.model.state.tokens[index] > self.count_in_time(index)
        self.decide(index, event, [])
        waits = any(r.id == id for r in self.limiters[index].waiting)
        assert waits != expected, (index, self.limiters[index])

    @rule(index=INSTANCES)
    def fire_timer(self, index: int) -> None:
        """Fire the timer of an instance, which admits requests while it has tokens."""
        left = max(0, self.model.state.tokens[index] - self.count_in_time(index))
        self.decide(index, RateTimerFired(self.peers(index)), [])
        assert self.model.state.tokens[index] == left

    @rule(which=integers(0, 50))
    def accept_spend_request(self, which: int) -> None:
        """Deliver a spend request, possibly late; both sides grant the same amount."""
        if not self.spend_requests:
            return
        requester, spend_request, slots = self.spend_requests.pop(
            which % len(self.spend_requests)
        )
        at = int(spend_request.peer)
        (reply,) = self.decide(
            at,
            SpendRequestReceived(
                str(requester),
                spend_request.spend_request_id,
                spend_request.requests,
            ),
            [],
        )
        assert reply.requests == min(
            spend_request.requests, self.model.state.tokens[at]
        ), reply
        for slot in slots[: reply.requests]:
            assert self.model.try_step(actions.grant_spend, f"granter={at} id={slot}")
        self.grants.append((requester, reply, slots[: reply.requests]))

    @rule(which=integers(0, 50), again=integers(0, 1))
    def deliver_grant(self, which: int, again: int) -> None:
        """Deliver a grant, possibly late or twice; one that is in time is used."""
        if not self.grants:
            return
        which %= len(self.grants)
        requester, reply, slots = self.grants[which]
        self.grants[which] = (requester, reply, [])
        if again:
            del self.grants[which]
        grants = self.model.state.grants
        timely = [s for s in slots if grants[s].asked and grants[s].asker == requester]
        expected = min(len(timely), self.count_in_time(requester))
        event = SpendGrantReceived(
            reply.spend_request_id, reply.requests, self.peers(requester)
        )
        self.decide(requester, event, timely)
        used = [s for s in timely if self.model.state.grants[s].uses]
        assert len(used) == expected, (reply, used, expected)

    @rule(index=INSTANCES)
    def receive_late_grant(self, index: int) -> None:
        """Send a spend request while the grant for an earlier one is in flight."""
        for _ in range(actions.SHARE_OF_BURST + 1):
            self.accept_request(index)
        self.accept_spend_request(len(self.spend_requests) - 1)
        self.tick(actions.GRANT_TICKS)
        self.accept_request(index)
        self.accept_request(index)
        self.deliver_grant(len(self.grants) - 1, 0)

    @rule(ticks=integers(1, 4))
    def tick(self, ticks: int) -> None:
        """Let time pass."""
        for _ in range(ticks):
            assert self.model.try_step(actions.tick, "")
        self.now += ticks

    @invariant()
    def same_tokens(self) -> None:
        """Check the current tokens of each instance and the limit of the model."""
        buckets = [refill(item.bucket, SHARE, self.now) for item in self.limiters]
        tokens = tuple(bucket.tokens for bucket in buckets)
        assert tokens == self.model.state.tokens, (tokens, self.model.state.tokens)
        assert rate_and_burst(self.model.state)
