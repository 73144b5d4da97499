"""Steps for rates and bursts across all instances."""

from random import Random

from behave import given, then, when
from behave.runner import Context
from features.fakes.rate_fleet import RateFleet

from jackdawspread.decisions.rates.admit_request import AdmitRequest
from jackdawspread.decisions.rates.rate_bucket import RateBucket
from jackdawspread.decisions.rates.rate_limiter import RateLimiter, decide_rate
from jackdawspread.decisions.rates.rate_share import RateShare
from jackdawspread.decisions.rates.request_arrived import RequestArrived
from jackdawspread.decisions.rates.spend_grant_received import SpendGrantReceived

# Tolerance for rounding of the refills.
ROUNDING = 1e-6
WARM_UP_S = 2.0


@given(
    "{instances:d} instances, a rate of {rate:d} per second and a burst of {burst:d}"
)
def fleet(context: Context, instances: int, rate: int, burst: int) -> None:
    """Set the instances and the limit."""
    context.names = [f"i{n}" for n in range(instances)]
    context.rate, context.burst = rate, burst
    context.faults = False


@given("an instance is frozen for 2 s, one crashes and one joins")
def faults(context: Context) -> None:
    """Enable the faults."""
    context.faults = True


@when(
    "the workspace sends {factor:g} times its rate for {seconds:d} s with seed {seed:d}"
)
def send_to_all(context: Context, factor: float, seconds: int, seed: int) -> None:
    """Send to randomly chosen instances."""
    _send(context, factor, seconds, seed, spread=True)


@when(
    "the workspace sends {factor:g} times its rate to one instance"
    " for {seconds:d} s with seed {seed:d}"
)
def send_to_one(context: Context, factor: float, seconds: int, seed: int) -> None:
    """Send within the rate and burst to one instance, once the buckets are full."""
    _send(context, factor, seconds, seed, spread=False)


def _send(
    context: Context, factor: float, seconds: int, seed: int, spread: bool
) -> None:
    fleet = RateFleet(context.names, context.rate, context.burst, seed)
    random = Random(seed)
    at = 0.0 if spread else WARM_UP_S
    end = at + seconds
    level, last = 0.0, at
    while (at := at + random.expovariate(context.rate * factor)) < end:
        name = random.choice(context.names) if spread else context.names[0]
        level, last = max(0.0, level - context.rate * (at - last)), at
        if not spread and level + 1 > context.burst:
            continue
        level += 1
        fleet.post(at, name, RequestArrived(f"r{at}", 0.0, ()))
    if context.faults:
        fleet.slow_messages = True
        _cause_faults(context, fleet, random, end)
    fleet.run_until(end + 1)
    context.fleet, context.seconds = fleet, seconds


def _cause_faults(
    context: Context, fleet: RateFleet, random: Random, end: float
) -> None:
    fleet.run_until(5.0)
    fleet.thaw_at["i0"] = 7.0
    fleet.run_until(9.0)
    fleet.join("new")
    at = fleet.now
    while (at := at + random.expovariate(context.rate * 2)) < end:
        fleet.post(at, "new", RequestArrived(f"n{at}", 0.0, ()))
    fleet.run_until(12.3)
    fleet.settle()
    fleet.run_until(15.0)
    fleet.crashed.add("i1")


@then("no window holds more admissions than the burst plus the rate over the window")
def within_limit(context: Context) -> None:
    """Check every window between two admissions with a leaky bucket."""
    level, last = 0.0, 0.0
    for at in context.fleet.admitted:
        level = max(0.0, level - context.rate * (at - last)) + 1
        last = at
        assert level <= context.burst + ROUNDING, (at, level)


@then("at least {percent:d} percent of the rate was admitted")
def admitted_at_least(context: Context, percent: int) -> None:
    """Check that the limit is not kept by refusing nearly all requests."""
    admitted = len(context.fleet.admitted)
    assert admitted >= context.rate * context.seconds * percent / 100, admitted


@then("no request was refused")
def none_refused(context: Context) -> None:
    """Check that nothing was refused."""
    assert context.fleet.refused == 0, context.fleet.refused


@given("a request that waits for a peer's grant")
def waiting(context: Context) -> None:
    """Let a request arrive at an instance with an empty bucket and no share."""
    context.share = RateShare(0.0, 0)
    limiter = RateLimiter(RateBucket(0.0, 0.0))
    event = RequestArrived("r", 5.0, ("peer",))
    context.limiter, effects = decide_rate(event, limiter, context.share, 0.0)
    context.spend_request_id = effects[-1].spend_request_id


@when("the grant arrives {late:g} s after the spend request")
def late_grant(context: Context, late: float) -> None:
    """Deliver the grant late."""
    event = SpendGrantReceived(context.spend_request_id, 1, ("peer",))
    _, context.effects = decide_rate(event, context.limiter, context.share, late)


@then("the grant admits nothing")
def nothing_admitted(context: Context) -> None:
    """Check that the grant was not used."""
    assert not [e for e in context.effects if isinstance(e, AdmitRequest)]
