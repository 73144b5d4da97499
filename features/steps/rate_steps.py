"""Steps for rates and bursts."""

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

# Sums of floating-point refills.
ROUNDING = 1e-6
SKIPPED_START_S = 2.0


@given(
    "{instances:d} instances, a rate of {rate:d} per second and a burst of {burst:d}"
)
def fleet(context: Context, instances: int, rate: int, burst: int) -> None:
    """Remember the fleet to start."""
    context.names = [f"i{n}" for n in range(instances)]
    context.rate, context.burst = rate, burst
    context.faults = False


@given("an instance is frozen for 2 s, one dies and one joins")
def faults(context: Context) -> None:
    """Remember to cause the faults."""
    context.faults = True


@when(
    "the workspace sends {factor:g} times its rate for {seconds:d} s with seed {seed:d}"
)
def flood(context: Context, factor: float, seconds: int, seed: int) -> None:
    """Send to all instances at random."""
    _send(context, factor, seconds, seed, spread=True)


@when(
    "the workspace sends {factor:g} times its rate to one instance"
    " for {seconds:d} s with seed {seed:d}"
)
def skewed(context: Context, factor: float, seconds: int, seed: int) -> None:
    """Send to one instance only, inside the rate and burst, once buckets are full."""
    _send(context, factor, seconds, seed, spread=False)


def _send(
    context: Context, factor: float, seconds: int, seed: int, spread: bool
) -> None:
    fleet = RateFleet(context.names, context.rate, context.burst, seed)
    random = Random(seed)
    at = 0.0 if spread else SKIPPED_START_S
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
    fleet.dead.add("i1")


@then("no window holds more admissions than the burst plus the rate over the window")
def within_limit(context: Context) -> None:
    """Check every window between two admissions with a leaky counter."""
    level, last = 0.0, 0.0
    for at in context.fleet.admitted:
        level = max(0.0, level - context.rate * (at - last)) + 1
        last = at
        assert level <= context.burst + ROUNDING, (at, level)


@then("at least {percent:d} percent of the rate was admitted")
def enough(context: Context, percent: int) -> None:
    """Check that the limit is not met by refusing nearly everything."""
    admitted = len(context.fleet.admitted)
    assert admitted >= context.rate * context.seconds * percent / 100, admitted


@then("no request was refused")
def none_refused(context: Context) -> None:
    """Check that nothing was refused."""
    assert context.fleet.refused == 0, context.fleet.refused


@given("a request that waits for a peer's grant")
def waiting(context: Context) -> None:
    """Let a request find an empty bucket without a rate of its own."""
    context.share = RateShare(0.0, 0)
    limiter = RateLimiter(RateBucket(0.0, 0.0))
    event = RequestArrived("r", 5.0, ("peer",))
    context.limiter, effects = decide_rate(event, limiter, context.share, 0.0)
    context.spend_request_id = effects[-1].spend_request_id


@when("the grant arrives {late:g} s after it was asked for")
def late_grant(context: Context, late: float) -> None:
    """Deliver the grant late."""
    event = SpendGrantReceived(context.spend_request_id, 1, ("peer",))
    _, context.effects = decide_rate(event, context.limiter, context.share, late)


@then("the grant admits nothing")
def nothing_admitted(context: Context) -> None:
    """Check that the grant was not used."""
    assert not [e for e in context.effects if isinstance(e, AdmitRequest)]
