"""Steps for what instances have acknowledged."""

import re

from behave import given, then, when
from behave.runner import Context
from trio import run
from trio.testing import MockClock

from jackdawspread.messages.fleet.acknowledged_positions import AcknowledgedPositions
from jackdawspread.messages.position import Position

# Time between the answers to two commits, and for which one of them takes.
COMMIT_INTERVAL_S = 0.1
COMMIT_S = 0.02


def _position(text: str) -> Position | None:
    return None if text == "none" else Position(*map(int, text.split(".")))


@given("{member} is not listed")
def given_unlisted(context: Context, member: str) -> None:
    """Take a member from the list."""
    context.group.listed.discard(member)


@when("{member} is listed")
def when_listed(context: Context, member: str) -> None:
    """Add a member to the list."""
    context.group.listed.add(member)


@given(
    'instance {instance} has acknowledged "{certain}" for certain and has shown '
    '"{shown}"'
)
def given_acknowledged(
    context: Context, instance: str, certain: str, shown: str
) -> None:
    """Choose what an instance tells with its confirmations."""
    positions = AcknowledgedPositions(_position(certain), _position(shown))
    context.group.announced.acknowledged_by_instance[instance] = positions


@when("instance {instance} has started again")
def when_restarted(context: Context, instance: str) -> None:
    """Let an instance know nothing of before."""
    del context.group.announced.acknowledged_by_instance[instance]


@when("another one is made {seconds:g} s later")
def when_another_attempt(context: Context, seconds: float) -> None:
    """Run another attempt, with the same trigger."""
    context.group.store_start_s += seconds
    stalled = context.writes_stalled
    run(context.group.attempt, stalled, clock=MockClock(autojump_threshold=0))


@when('instance {instance} has shown "{shown}" meanwhile')
def when_shown(context: Context, instance: str, shown: str) -> None:
    """Let an instance acknowledge one more commit."""
    acknowledged_by_instance = context.group.announced.acknowledged_by_instance
    before = acknowledged_by_instance[instance]
    acknowledged_by_instance[instance] = before._replace(shown=_position(shown))


@then('the promoted members are "{members}"')
def then_promoted(context: Context, members: str) -> None:
    """Compare the requests of all attempts."""
    found = ",".join(context.group.promoted) or "none"
    assert found == members, (found, context.group.outcomes)


@then("the record names no acknowledged position")
def then_forgotten(context: Context) -> None:
    """Compare the keys."""
    record = context.group.record
    assert not {"acknowledged", "shown", "shown_since"} & record.keys(), record


@given('it has acknowledged commits at "{positions}"')
def given_commits(context: Context, positions: str) -> None:
    """Acknowledge commits one after the other."""
    instance = context.instance
    for text in re.findall(r"\+?[0-9]+\.[0-9]+", positions):
        overlap_s = COMMIT_INTERVAL_S if text.startswith("+") else 0.0
        sent_at = instance.now() + COMMIT_INTERVAL_S - COMMIT_S - overlap_s
        instance.pass_time(COMMIT_INTERVAL_S)
        instance.commit(_position(text.removeprefix("+")), 1.0, sent_at)


@then('it has acknowledged "{certain}" for certain and has shown "{shown}"')
def then_acknowledged(context: Context, certain: str, shown: str) -> None:
    """Compare what it tells with its confirmation."""
    found = context.confirmation.receive_nowait()
    expected = AcknowledgedPositions(_position(certain), _position(shown))
    assert found == expected, found
