"""Steps for the decisions about acknowledgements."""

from behave import given, then, when
from behave.runner import Context

from jackdawspread.decisions.acknowledgement.acknowledge_commit import AcknowledgeCommit
from jackdawspread.decisions.acknowledgement.acknowledged_positions import (
    add_acknowledged,
    find_missing,
)
from jackdawspread.decisions.acknowledgement.decide_acknowledgement import (
    decide_acknowledgement,
)
from jackdawspread.decisions.acknowledgement.evidence import Evidence, add_evidence
from jackdawspread.decisions.acknowledgement.group_view import GroupView
from jackdawspread.decisions.acknowledgement.newer_state import (
    end_suspension,
    newer_state,
)
from jackdawspread.decisions.acknowledgement.permit import has_permit
from jackdawspread.decisions.acknowledgement.received_commit import (
    has_received,
    still_leads_with,
)
from jackdawspread.decisions.acknowledgement.registration import renew
from jackdawspread.decisions.acknowledgement.verify_commit import VerifyCommit
from jackdawspread.decisions.acknowledgement.wait_for_state import WaitForState
from jackdawspread.messages.fleet.instance_registered import InstanceRegistered
from jackdawspread.messages.fleet.log_status import LogStatus
from jackdawspread.messages.fleet.promotion_state import PromotionState
from jackdawspread.messages.position import Position

LISTED = frozenset("abc")
SENT_AT = 100.0
CHANGED_AT_BY_TEXT = {"before": SENT_AT - 1, "after": SENT_AT + 1}
STATE = PromotionState("g", 1, 9, 5)
STATE_BY_TEXT = {
    "no request": STATE,
    "suspended": STATE._replace(is_suspended=True),
    "suspended, b outstanding": STATE._replace(
        is_suspended=True, outstanding=("b",), last_requested="b"
    ),
    "b outstanding": STATE._replace(outstanding=("b",), last_requested="b"),
    "a outstanding": STATE._replace(outstanding=("a",), last_requested="a"),
    "a and b outstanding": STATE._replace(outstanding=("a", "b"), last_requested="a"),
    "a and b outstanding, a last": STATE._replace(
        outstanding=("b", "a"), last_requested="a"
    ),
    "gone outstanding": STATE._replace(outstanding=("gone",), last_requested="gone"),
    "b was promoted": STATE._replace(last_requested="b"),
    "a was promoted": STATE._replace(last_requested="a"),
}


def _members(text: str) -> tuple[str, ...]:
    return () if text == "none" else tuple(text.split(","))


def _position(text: str) -> Position | None:
    return None if text == "none" else Position(*map(int, text.split(".")))


@given("a group with the members a, b and c, of which a answered a commit")
def group(context: Context) -> None:
    """The members are those of the constants."""


@given('the state "{state}" that changed {changed} the statement was sent')
def state_changed(context: Context, state: str, changed: str) -> None:
    """Set what is known of the group."""
    context.view = GroupView(STATE_BY_TEXT[state], CHANGED_AT_BY_TEXT[changed])


@when("the commit is decided on {permit} a permit")
def decided(context: Context, permit: str) -> None:
    """Decide on a commit of member a."""
    context.decision = decide_acknowledgement(
        context.view, permit == "with", "a", SENT_AT, LISTED
    )


@then('the decision is "{text}"')
def decision_is(context: Context, text: str) -> None:
    """Compare the decision."""
    if text == "wait":
        expected: object = WaitForState()
    elif text == "acknowledge":
        expected = AcknowledgeCommit()
    else:
        expected = VerifyCommit(frozenset(text.removeprefix("verify ").split(",")))
    assert type(context.decision) is type(expected), context.decision
    assert context.decision == expected, context.decision


@given(
    "a known state of token {token:d}, epoch {epoch:d} and version {version:d} with b "
    "outstanding"
)
def known_state(context: Context, token: int, epoch: int, version: int) -> None:
    """Set the known state."""
    context.known = PromotionState("g", epoch, version, token, outstanding=("b",))


@when(
    "a state of token {token:d}, epoch {epoch:d} and version {version:d} with "
    "{members} outstanding is seen"
)
def seen_state(
    context: Context, token: int, epoch: int, version: int, members: str
) -> None:
    """Merge another state."""
    context.seen = PromotionState(
        "g", epoch, version, token, outstanding=_members(members)
    )
    context.merged = newer_state(context.known, context.seen)


@then("the {which} state counts with {members} outstanding")
def state_counts(context: Context, which: str, members: str) -> None:
    """Compare the merged state."""
    expected = context.seen if which == "seen" else context.known
    expected = expected._replace(outstanding=_members(members))
    assert context.merged == expected, context.merged


@given("a known state that is {text}")
def known_suspension(context: Context, text: str) -> None:
    """Set the known state."""
    context.known = STATE._replace(is_suspended=text == "suspended")


@when("the same record is seen as {text}")
def seen_suspension(context: Context, text: str) -> None:
    """Merge another reading of the record."""
    seen = STATE._replace(is_suspended=text == "suspended")
    context.merged = newer_state(context.known, seen)


@given("a known state of epoch {epoch:d} that is suspended")
def suspended_in_epoch(context: Context, epoch: int) -> None:
    """Set the known state."""
    context.known = STATE._replace(epoch=epoch, is_suspended=True)


@when("all locks of the epochs before {epoch:d} have expired")
def locks_expired(context: Context, epoch: int) -> None:
    """End the suspensions of earlier epochs."""
    context.merged = end_suspension(context.known, epoch)


@then("the state is {text}")
def suspension_is(context: Context, text: str) -> None:
    """Compare the suspension."""
    assert context.merged.is_suspended == (text == "suspended"), context.merged


@given('an instance whose registrations were acknowledged at "{times}"')
def registrations(context: Context, times: str) -> None:
    """Apply registrations that were sent at the time of their acknowledgement."""
    context.registration = None
    for at in () if times == "never" else map(float, times.split(",")):
        event = InstanceRegistered(at, at, epoch=2)
        context.registration = renew(context.registration, event)


@given("evidence of epoch {epoch:d} first seen at {seen:g} s and as of {as_of:g} s")
def evidence(context: Context, epoch: int, seen: float, as_of: float) -> None:
    """Set the newest evidence."""
    context.evidence = Evidence(epoch, seen, as_of)


@when("evidence of epoch {epoch:d} as of {as_of:g} s is seen at {now:g} s")
def more_evidence(context: Context, epoch: int, as_of: float, now: float) -> None:
    """Add evidence."""
    context.evidence = add_evidence(context.evidence, epoch, as_of, now)


@when(
    "the first evidence as of {as_of:g} s, of an epoch that is {age:g} s old, is seen "
    "at {now:g} s"
)
def first_evidence(context: Context, as_of: float, age: float, now: float) -> None:
    """Begin with evidence that tells the age of the epoch."""
    context.evidence = add_evidence(None, 1, as_of, now, age)


@given("an instance that registered at {since:g} s and again at {renewed:g} s")
def registered_twice(context: Context, since: float, renewed: float) -> None:
    """Register before a restore, and again after it."""
    first = renew(None, InstanceRegistered(since, since, epoch=1))
    epoch = 2 if renewed > 100 else 1
    context.registration = renew(first, InstanceRegistered(renewed, renewed, epoch))


@given("a store that was restored at {seen:g} s, and evidence as of {as_of:g} s")
def restored(context: Context, seen: float, as_of: float) -> None:
    """Set evidence of the second epoch."""
    context.evidence = Evidence(2, seen, as_of)


@then("at {now:g} s it holds a permit: {expected}")
def holds_permit(context: Context, now: float, expected: str) -> None:
    """Compare the permit."""
    found = has_permit(context.evidence, context.registration, now)
    assert found == (expected == "yes"), (context.evidence, context.registration)


@then("a primary of term {term:d} whose log ends at {end} still leads: {expected}")
def still_leads(context: Context, term: int, end: str, expected: str) -> None:
    """Check a status of the member that answered."""
    status = LogStatus("a", True, term, _position(end))
    assert still_leads_with(status, context.position) == (expected == "yes")


@given("a commit at {position}")
def commit_at(context: Context, position: str) -> None:
    """Set the position."""
    context.position = _position(position)


@then("a {role} whose log ends at {end} has received it: {expected}")
def received(context: Context, role: str, end: str, expected: str) -> None:
    """Compare the decision about a status."""
    position = _position(end)
    status = LogStatus("b", role == "primary", position.term, position)
    assert has_received(status, context.position) == (expected == "yes")


@given('acknowledged commits at "{positions}"')
def acknowledged(context: Context, positions: str) -> None:
    """Remember acknowledged commits."""
    context.sequences = {}
    for text in positions.split(","):
        add_acknowledged(context.sequences, _position(text))


@when("b is {promoted} with a log that ended at {end}")
def promoted(context: Context, promoted: str, end: str) -> None:
    """Look for missing commits in the state of the promotion."""
    outstanding = ("b",) if promoted == "requested" else ()
    state = STATE._replace(
        last_requested="b", outstanding=outstanding, log_end=_position(end)
    )
    context.missing = find_missing(context.sequences, state)


@then("the missing commit is {position}")
def missing(context: Context, position: str) -> None:
    """Compare the missing commit."""
    assert context.missing == _position(position), context.missing
