"""Steps for control tasks on a mock clock."""

from behave import then, when
from behave.runner import Context
from features.fakes.control_pair import ControlPair
from trio import open_nursery, run, sleep
from trio.testing import MockClock


def run_pair(context: Context, *phases: tuple[float, bool]) -> None:
    """Run two tasks through phases of seconds, connected or partitioned."""

    async def main() -> None:
        pair = context.pair = ControlPair()
        async with open_nursery() as nursery:
            pair.start(nursery)
            for seconds, is_cut in phases:
                pair.is_cut = is_cut
                await sleep(seconds)
            context.left = pair.authority_left()
            nursery.cancel_scope.cancel()

    run(main, clock=MockClock(autojump_threshold=0))


@when("two control tasks run for {seconds:g} s")
def run_connected(context: Context, seconds: float) -> None:
    run_pair(context, (seconds, False))


@when("two control tasks run for {first:g} s and are then partitioned for {second:g} s")
def run_partitioned(context: Context, first: float, second: float) -> None:
    run_pair(context, (first, False), (second, True))


@when(
    "two control tasks are partitioned for {first:g} s and then connected "
    "for {second:g} s"
)
def run_reconnected(context: Context, first: float, second: float) -> None:
    run_pair(context, (10, False), (first, True), (second, False))


@then("each task has more than {seconds:g} s of authority left")
def has_left(context: Context, seconds: float) -> None:
    assert all(left > seconds for left in context.left), context.left


@then("no task has authority left")
def none_left(context: Context) -> None:
    assert all(left < 0 for left in context.left), context.left


@then("the tasks read the platform at most {count:d} times")
def platform_reads(context: Context, count: int) -> None:
    assert 100 < context.pair.polls <= count, context.pair.polls


@then("both tasks publish a settled view of {count:d} members")
def settled_view(context: Context, count: int) -> None:
    for snapshot in context.pair.snapshot_by_address.values():
        (view,) = snapshot.unsettled_views
        assert len(view.member_by_incarnation) == count, view
