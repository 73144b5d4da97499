"""Steps for attempts to replace a primary."""

import trio
from behave import given, then
from behave.runner import Context
from features.fakes.failover_world import SuccessionWorld
from trio.testing import MockClock


def _run(
    context: Context,
    silent: set[str],
    answers: list[str],
    former_order: str = "",
    late: str = "",
    joined: str = "",
) -> None:
    context.attempt = SuccessionWorld(silent, answers)
    context.attempt.former_order = former_order
    context.attempt.late = late
    context.attempt.joined = joined
    trio.run(context.attempt.run, clock=MockClock(autojump_threshold=0))


@given('an attempt whose order to promote is answered with "{answers}"')
def answered(context: Context, answers: str) -> None:
    """Run an attempt against a dead primary."""
    _run(context, {"m0"}, answers.split(","))


@given('an attempt in which "{silent}" do not answer')
def silent(context: Context, silent: str) -> None:
    """Run an attempt without some replicas."""
    _run(context, {"m0", *silent.split(",")}, ["accepted"])


@given("an attempt whose primary answers")
def primary_answers(context: Context) -> None:
    """Run an attempt against a living primary."""
    _run(context, set(), ["accepted"])


@given('an attempt after an order to promote "{member}" without an answer')
def after_order(context: Context, member: str) -> None:
    """Run an attempt that finds an earlier order in the record."""
    _run(context, {"m0"}, ["accepted"], former_order=member)


@given('an attempt during which an earlier order promotes "{member}"')
def late_order(context: Context, member: str) -> None:
    """Run an attempt whose pauses end by a late order."""
    _run(context, {"m0"}, ["accepted"], late=member)


@given('an attempt during which the replica "{member}" joins')
def joins(context: Context, member: str) -> None:
    """Run an attempt after whose pauses the list names another replica."""
    _run(context, {"m0"}, ["accepted"], joined=member)


@then('it promotes "{member}" among equal logs')
def promotes(context: Context, member: str) -> None:
    """Compare the member that was recorded before the order."""
    assert context.attempt.chosen == member and context.attempt.ordered == 1


@then('the attempt ends with "{outcome}", the duty {duty} and the replicas {state}')
def ends_with(context: Context, outcome: str, duty: str, state: str) -> None:
    """Compare outcome, duty and pause."""
    attempt = context.attempt
    assert attempt.outcome.startswith(outcome), attempt.outcome
    assert attempt.is_released == (duty == "is released")
    assert set(attempt.paused) == ({"m1", "m2"} if state == "paused" else set())


@then("no promotion is ordered and the duty is released")
def nothing_ordered(context: Context) -> None:
    """The attempt gave up before it ordered anything."""
    assert context.attempt.ordered == 0 and context.attempt.is_released


@then("no promotion is ordered and no duty is taken")
def not_taken(context: Context) -> None:
    """The doubt was cleared first."""
    assert context.attempt.ordered == 0 and not context.attempt.is_taken
