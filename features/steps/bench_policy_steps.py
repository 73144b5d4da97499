"""Steps for the bench's comparison of policies."""

import sys
from pathlib import Path

from behave import given, then, when
from behave.runner import Context
from trio import Event, move_on_after, open_nursery, open_tcp_listeners, run

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from bench.check.fair_share import max_min_shares
from bench.check.rate_windows import largest_excess
from bench.check.wrongly_refused import count_wrongly_refused
from bench.load.age_probe import AgeProbe
from bench.plans.load_plan import LoadPlan

from jackdawspread.codecs.untyped_json import encode_json
from jackdawspread.messages.http_request import HttpRequest
from jackdawspread.messages.http_response import HttpResponse
from jackdawspread.tasks.http_server import HttpServer


def _numbers(text: str) -> list[float]:
    return [float(part) for part in text.split(",")]


@when("demands of {demands} share a capacity of {capacity:d}")
def share(context: Context, demands: str, capacity: int) -> None:
    """Share the capacity."""
    demand = {f"w{n}": value for n, value in enumerate(_numbers(demands))}
    context.shares = list(max_min_shares(demand, capacity).values())


@then("the fair shares are {shares}")
def fair(context: Context, shares: str) -> None:
    """Check the shares."""
    assert context.shares == _numbers(shares), context.shares


@when("40 requests are admitted between 0.9 s and 1.1 s")
def admit(context: Context) -> None:
    """Place short requests on both sides of a whole second."""
    starts = [0.9 + 0.005 * n for n in range(40)]
    context.spans = [(start, start + 0.0001) for start in starts]


@then("a limit of 20/s with a burst of 10 is exceeded by 26 requests")
def exceeded(context: Context) -> None:
    """Check the 0.195 s that hold all requests: 40 - 10 - 0.195 * 20 = 26."""
    excess = largest_excess(context.spans, 20.0, 10)
    assert round(excess) == 26, excess


@then("a limit of 200/s with a burst of 20 is kept")
def kept(context: Context) -> None:
    """Check that no window is above the limit."""
    assert largest_excess(context.spans, 200.0, 20) <= 0


@when("8 requests arrive at once and the first and the last are refused")
def burst(context: Context) -> None:
    """Refuse one request inside the burst and one beyond it."""
    context.calls = [(1.0 + n / 1000, n in (0, 7)) for n in range(8)]


@then("with a burst of 5 one refusal was within the rate")
def within(context: Context) -> None:
    """Check the count."""
    assert count_wrongly_refused(context.calls, 10.0, 5) == 1


@when("callers weight three instances with 3, 1 and 0")
def weight(context: Context) -> None:
    """Choose the instances that callers use in turn."""
    plan = LoadPlan(1.0, 1.0, 1, 1, 1, (3, 1, 0))
    context.entries = plan.entries(["a", "b", "c"])


@then("their calls go to the first, first, first and second")
def favoured(context: Context) -> None:
    """Check the order."""
    assert context.entries == ["a", "a", "a", "b"], context.entries


@given("an instance that always answers with number 0")
def old_answers(context: Context) -> None:
    """Prepare an answer without any write."""
    context.body = encode_json({"results": [{"rows": [[0]]}]})


@when("the bench checks the stated age for 1 s")
def check_age(context: Context) -> None:
    """Run the probe against one instance."""

    async def handle(request: HttpRequest) -> HttpResponse:
        return HttpResponse(200, (), context.body)

    async def main() -> None:
        listener = (await open_tcp_listeners(0, host="127.0.0.1"))[0]
        address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
        async with open_nursery() as nursery:
            nursery.start_soon(HttpServer(listener, handle, Event()).run)
            probe = AgeProbe([address], "swap1", "key")
            with move_on_after(1):
                await probe.run()
            context.report = probe.report
            nursery.cancel_scope.cancel()

    run(main)


@then("some reads are too old")
def too_old(context: Context) -> None:
    """Check the report."""
    assert 0 < context.report.too_old <= context.report.reads, context.report
