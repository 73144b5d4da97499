"""Rate limiters of three instances against the model of rates."""

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
# The model's tick is half the lifetime of a grant; the times are rounded to it.
TICKS_BY_CONSTANT = {
    name: round(getattr(rate_limiter, name) * actions.GRANT_TICKS / 0.05)
    for name in ("GRANT_LIFETIME_S", "BORROW_WAIT_S", "SPEND_ROUND_INTERVAL_S")
}
# The code earns nothing under a counted grant up to its very expiry, the model
# nothing until the tick of the expiry; one tick more makes both the same.
RULES = Rules(count_grant_ticks=actions.GRANT_TICKS + 1)
INSTANCES = integers(0, actions.INSTANCES - 1)


class RateMachine(RuleBasedStateMachine):
    """Events reach the limiters in any order; each admission must be a model's.

    An ask for several requests is that many grants of the model, of which the
    first ones are given. The model refills at each tick, the code when it is asked.
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
        self.asks: list[tuple[int, SendSpendRequest, list[int]]] = []
        self.grants: list[tuple[int, SendSpendGrant, list[int]]] = []

    def teardown(self) -> None:
        """Restore the constants."""
        self.constants.stop()

    def decide(
        self, index: int, event: object, usable: list[int]
    ) -> list[SendSpendGrant]:
        """Let an instance decide, and the model take each of its effects."""
        limiter = self.limiters[index]
        limiter, effects = decide_rate(event, limiter, SHARE, self.now)
        self.limiters[index] = limiter
        borrowed = [e for e in effects if e == AdmitRequest(e[0], "borrowed")]
        for _, slot in zip(borrowed, usable, strict=False):
            name = f"asker={index} id={slot}"
            assert self.model.take(actions.use_grant, name), name
        assert len(borrowed) <= len(usable), effects
        for effect in effects:
            if effect == AdmitRequest(effect[0], "own"):
                assert self.model.take(actions.admit, f"instance={index}"), effect
            if isinstance(effect, SendSpendRequest):
                self.ask(index, effect)
        return [effect for effect in effects if isinstance(effect, SendSpendGrant)]

    def ask(self, index: int, effect: SendSpendRequest) -> None:
        """Add a grant of the model for each request of an ask.

        The model gives the place of an unanswered ask to the next one; here it is
        kept, so that the ask can still arrive.
        """
        state = self.model.state
        first = len(state.grants)
        asked = (Grant(index, actions.GRANT_TICKS, None, 0),) * effect.requests
        self.model.state = state._replace(grants=state.grants + asked)
        self.asks.append((index, effect, list(range(first, first + len(asked)))))

    def in_time(self, index: int) -> int:
        """Return how many requests wait that are not overdue.

        The model does not refuse; the code refuses overdue requests before it
        admits others.
        """
        return sum(r.deadline > self.now for r in self.limiters[index].waiting)

    def peers(self, index: int) -> tuple[str, ...]:
        """Return the one peer that the model lets an instance ask."""
        return (str((index + 1) % actions.INSTANCES),)

    @rule(index=INSTANCES)
    def arrive(self, index: int) -> None:
        """Let a request arrive; it is admitted if the model has a token for it."""
        self.requests += 1
        id = str(self.requests)
        event = RequestArrived(id, self.now + 100.0, self.peers(index))
        expected = self.model.state.tokens[index] > self.in_time(index)
        self.decide(index, event, [])
        waits = any(r.id == id for r in self.limiters[index].waiting)
        assert waits != expected, (index, self.limiters[index])

    @rule(index=INSTANCES)
    def due(self, index: int) -> None:
        """Wake an instance; it admits what waits from the tokens of the model."""
        left = max(0, self.model.state.tokens[index] - self.in_time(index))
        self.decide(index, RateTimerFired(self.peers(index)), [])
        assert self.model.state.tokens[index] == left

    @rule(which=integers(0, 50))
    def deliver_ask(self, which: int) -> None:
        """Deliver an ask, perhaps late; the model gives as much as the code."""
        if not self.asks:
            return
        asker, ask, slots = self.asks.pop(which % len(self.asks))
        at = int(ask.peer)
        (reply,) = self.decide(
            at, SpendRequestReceived(str(asker), ask.spend_request_id, ask.requests), []
        )
        assert reply.requests == min(ask.requests, self.model.state.tokens[at]), reply
        for slot in slots[: reply.requests]:
            assert self.model.take(actions.grant_spend, f"granter={at} id={slot}")
        self.grants.append((asker, reply, slots[: reply.requests]))

    @rule(which=integers(0, 50), again=integers(0, 1))
    def deliver_grant(self, which: int, again: int) -> None:
        """Deliver a grant, perhaps late or twice; a timely one is used."""
        if not self.grants:
            return
        which %= len(self.grants)
        asker, reply, slots = self.grants[which]
        self.grants[which] = (asker, reply, [])
        if again:
            del self.grants[which]
        grants = self.model.state.grants
        timely = [s for s in slots if grants[s].asked and grants[s].asker == asker]
        expected = min(len(timely), self.in_time(asker))
        event = SpendGrantReceived(
            reply.spend_request_id, reply.requests, self.peers(asker)
        )
        self.decide(asker, event, timely)
        used = [s for s in timely if self.model.state.grants[s].uses]
        assert len(used) == expected, (reply, used, expected)

    @rule(index=INSTANCES)
    def outlive_grant(self, index: int) -> None:
        """Ask anew while the grant for an earlier ask is still on its way."""
        for _ in range(actions.SHARE_OF_BURST + 1):
            self.arrive(index)
        self.deliver_ask(len(self.asks) - 1)
        self.tick(actions.GRANT_TICKS)
        self.arrive(index)
        self.arrive(index)
        self.deliver_grant(len(self.grants) - 1, 0)

    @rule(ticks=integers(1, 4))
    def tick(self, ticks: int) -> None:
        """Let time pass."""
        for _ in range(ticks):
            assert self.model.take(actions.tick, "")
        self.now += ticks

    @invariant()
    def same_tokens(self) -> None:
        """Check the tokens that each instance has now, and the model's limit."""
        buckets = [refill(item.bucket, SHARE, self.now) for item in self.limiters]
        tokens = tuple(bucket.tokens for bucket in buckets)
        assert tokens == self.model.state.tokens, (tokens, self.model.state.tokens)
        assert rate_and_burst(self.model.state)
