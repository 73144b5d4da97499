"""Steps for attempts to replace a primary."""

import trio
from behave import given, then
from behave.runner import Context
from features.fakes.failover_world import FailoverWorld
from trio.testing import MockClock


def _run(
    context: Context,
    unreachable: set[str],
    answers: list[str],
    earlier_request: str = "",
    late_promotion: str = "",
    joining_replica: str = "",
) -> None:
    context.attempt = FailoverWorld(unreachable, answers)
    context.attempt.earlier_request = earlier_request
    context.attempt.late_promotion = late_promotion
    context.attempt.joining_replica = joining_replica
    trio.run(context.attempt.run, clock=MockClock(autojump_threshold=0))


@given('an attempt whose promotion requests are answered with "{answers}"')
def answered(context: Context, answers: str) -> None:
    """Run an attempt to replace an unreachable primary."""
    _run(context, {"m0"}, answers.split(","))


@given('an attempt in which "{silent}" do not answer')
def silent(context: Context, silent: str) -> None:
    """Run an attempt in which some replicas do not answer either."""
    _run(context, {"m0", *silent.split(",")}, ["accepted"])


@given("an attempt that ends {held:g} s before its lock expires")
def ends_late(context: Context, held: float) -> None:
    """Run an attempt that is refused shortly before its lock expires."""
    context.attempt = FailoverWorld({"m0"}, ["rejected"])
    context.attempt.held_s = held
    trio.run(context.attempt.run, clock=MockClock(autojump_threshold=0))


@given("an attempt whose primary answers")
def primary_answers(context: Context) -> None:
    """Run an attempt to replace a reachable primary."""
    _run(context, set(), ["accepted"])


@given('an attempt after an unanswered request to promote "{member}"')
def after_request(context: Context, member: str) -> None:
    """Run an attempt that finds an earlier request in the record."""
    _run(context, {"m0"}, ["accepted"], earlier_request=member)


@given('an attempt during which an earlier request promotes "{member}"')
def late_request(context: Context, member: str) -> None:
    """Run an attempt in which a late request ends the pause of a replica."""
    _run(context, {"m0"}, ["accepted"], late_promotion=member)


@given('an attempt during which the replica "{member}" joins')
def joins(context: Context, member: str) -> None:
    """Run an attempt in which the list names another replica after the pauses."""
    _run(context, {"m0"}, ["accepted"], joining_replica=member)


@then('it promotes "{member}" among equal logs')
def promotes(context: Context, member: str) -> None:
    """Compare the member that was recorded before the request."""
    assert context.attempt.chosen == member and context.attempt.request_count == 1


@then('the attempt ends with "{outcome}", the lock {lock} and the replicas {state}')
def ends_with(context: Context, outcome: str, lock: str, state: str) -> None:
    """Compare the outcome, the lock and the paused replicas."""
    attempt = context.attempt
    assert attempt.outcome.startswith(outcome), attempt.outcome
    assert attempt.is_released == (lock == "is released")
    assert set(attempt.paused) == ({"m1", "m2"} if state == "paused" else set())


@then("no promotion is requested and the lock is released")
def nothing_requested(context: Context) -> None:
    """Check that the attempt ended before it requested a promotion."""
    assert context.attempt.request_count == 0 and context.attempt.is_released


@then("no promotion is requested and no lock is acquired")
def not_acquired(context: Context) -> None:
    """Check that the attempt ended before it acquired the lock."""
    assert context.attempt.request_count == 0 and not context.attempt.is_acquired
