"""Steps for the acknowledgement task."""

from contextlib import ExitStack
from types import SimpleNamespace

from behave import given, then, when
from behave.runner import Context
from features.fakes.acknowledging_instance import (
    GROUP,
    INSTANCE,
    PRIMARY,
    AcknowledgingInstance,
)
from features.support.log_lines import collect_log_lines
from trio import WouldBlock

from jackdawspread.messages.fleet.acknowledged_positions import NOTHING_ACKNOWLEDGED
from jackdawspread.messages.fleet.configuration_seen import ConfigurationSeen
from jackdawspread.messages.fleet.member_group import MemberGroup
from jackdawspread.messages.fleet.promotion_announcement_received import (
    PromotionAnnouncementReceived,
)
from jackdawspread.messages.fleet.promotion_state import PromotionState
from jackdawspread.messages.fleet.send_datagram import SendDatagram
from jackdawspread.messages.position import Position

PEER = "10.0.1.2:7"
ANNOUNCEMENT_ID = 17
LEFT_S = 1.5
# Versions of the record of one lock, by what it says.
VERSION_BY_WORD = {
    "suspended": 1,
    "expired": 1,
    "requested": 2,
    "promoted": 3,
    "released": 4,
}
ENDED_VERSION = 5


def _state(text: str) -> PromotionState:
    """Return the state for a text such as ``token 5 compared 3.7 requested b``."""
    words = text.split()
    token = int(words[1])
    state = PromotionState(
        GROUP, 1, 10 * token + ENDED_VERSION, token, fenced_token=token
    )
    for word, version in VERSION_BY_WORD.items():
        if word in words:
            state = state._replace(version=10 * token + version)
    state = state._replace(is_suspended="suspended" in words)
    if "compared" in words:
        state = state._replace(log_end=_position(words[words.index("compared") + 1]))
    if "requested" in words:
        members = words[words.index("requested") + 1 :: 2]
        return state._replace(outstanding=tuple(members), last_requested=members[-1])
    if "promoted" in words:
        return state._replace(last_requested=words[-1])
    return state


def _position(text: str) -> Position | None:
    return None if text == "none" else Position(*map(int, text.split(".")))


def _start(context: Context) -> AcknowledgingInstance:
    context.instance = AcknowledgingInstance()
    context.add_cleanup(context.instance.thread.stop)
    return context.instance


@given("an instance that holds a permit")
def permitted(context: Context) -> None:
    """Start an instance that has read the store."""
    _start(context).gain_permit()


@given("an instance that has no evidence")
def without_evidence(context: Context) -> None:
    """Start an instance that is registered and has not read the store."""
    _start(context).register()


@given("{member} has received the log up to {end}")
@when("{member} has received the log up to {end}")
def received_up_to(context: Context, member: str, end: str) -> None:
    """Set the end of a replica's log; ``none`` for one that does not answer."""
    position = _position(end)
    if position is None:
        del context.instance.end_by_member[member]
    else:
        context.instance.end_by_member[member] = position


@given('the listed members are "{members}"')
@when('the listed members are "{members}"')
def listed(context: Context, members: str) -> None:
    """Deliver a list."""
    context.instance.list_members(tuple(members.split(",")))


@when("the configuration says that the group has {count:d} synchronous replicas")
@given("the configuration says that the group has {count:d} synchronous replicas")
def configured(context: Context, count: int) -> None:
    """Deliver a configuration."""
    groups = {GROUP: MemberGroup(GROUP, 16, sync_replicas=count)}
    configuration = SimpleNamespace(group_by_name=groups)
    context.instance.send(ConfigurationSeen(configuration, 0.0))


@when("a answers a commit at {position}")
def answers(context: Context, position: str) -> None:
    """Have a commit checked; the text may say how much time the statement has left."""
    position, _, left = position.partition(" with ")
    left_s = int(left.split()[0]) / 1000 if left else LEFT_S
    context.commit = context.instance.commit(_position(position), left_s)


@when("a answers {count:d} commits at {position}")
def answers_many(context: Context, count: int, position: str) -> None:
    """Have commits checked at the same time."""
    context.commits = [
        context.instance.commit(_position(position), LEFT_S) for _ in range(count)
    ]


@when(
    "a is sent a commit, and answers it at {position} after the state "
    '"{state}" was announced'
)
def answers_later(context: Context, position: str, state: str) -> None:
    """Announce a state between the commit and its answer."""
    instance = context.instance
    sent_at = instance.now()
    instance.pass_time(0.01)
    instance.announce(ANNOUNCEMENT_ID, _state(state), PEER)
    context.commit = instance.commit(_position(position), LEFT_S, sent_at)


@when("a write is to be sent with {ms:d} ms left")
def write_waits(context: Context, ms: int) -> None:
    """Ask whether a write may be sent."""
    context.write = context.instance.await_writable(ms / 1000)


@when("{ms:d} ms pass")
def time_passes(context: Context, ms: int) -> None:
    """Let time pass."""
    context.instance.pass_time(ms / 1000)


@when("the machine is suspended for {seconds:d} s")
def machine_suspended(context: Context, seconds: int) -> None:
    """Let only the boot-time clock go on."""
    context.instance.suspend(seconds)


@when('the state "{state}" is announced')
def announced(context: Context, state: str) -> None:
    """Deliver an announcement of another instance."""
    context.instance.announce(ANNOUNCEMENT_ID, _state(state), PEER)


@when('it announces the state "{state}" itself')
def announced_itself(context: Context, state: str) -> None:
    """Deliver an announcement of this instance."""
    context.confirmation = context.instance.announce_own(_state(state))


@when("the store is read")
def store_read(context: Context) -> None:
    """Deliver evidence without a record."""
    context.instance.read()


@when('the store is read with the state "{state}"')
def store_read_with(context: Context, state: str) -> None:
    """Deliver evidence with one record."""
    context.instance.read(_state(state))


@when("the store is read in the epoch {epoch:d}")
def store_read_in(context: Context, epoch: int) -> None:
    """Deliver evidence of a restored store, without a record."""
    context.instance.read(epoch=epoch)


@when("it registers in the epoch {epoch:d}")
def registers_in(context: Context, epoch: int) -> None:
    """Report a registration in a restored store."""
    context.instance.register(epoch)


@when("the log lines are collected")
def collect(context: Context) -> None:
    """Collect log lines from now on."""
    lines = ExitStack()
    context.lines = lines.enter_context(collect_log_lines())
    context.add_cleanup(lines.close)


def _confirmation(context: Context):
    try:
        return context.commit.receive_nowait()
    except WouldBlock:
        return None


@then("the commit is pending")
def commit_pending(context: Context) -> None:
    """Check that there is no result yet."""
    assert _confirmation(context) is None


@then('the commit is acknowledged by "{basis}"')
def commit_acknowledged(context: Context, basis: str) -> None:
    """Compare the result."""
    assert _confirmation(context) == (True, basis), context.instance.end_by_member


@then('the commit is in doubt as "{reason}"')
def commit_in_doubt(context: Context, reason: str) -> None:
    """Compare the result."""
    found = _confirmation(context)
    assert found == (False, reason), found


@then("no member was queried")
def no_queries(context: Context) -> None:
    """Check the queries."""
    assert not context.instance.query_count_by_member


@then("each member had at most one query at a time and {count:d} in all")
def few_queries(context: Context, count: int) -> None:
    """Check the queries; a member that has all commits needs a single one."""
    instance = context.instance
    assert instance.max_concurrent_queries == 1, instance.max_concurrent_queries
    found = sum(instance.query_count_by_member.values())
    assert found == count, instance.query_count_by_member


@then("the write is held")
def write_held(context: Context) -> None:
    """Check that there is no answer yet."""
    try:
        found = context.write.receive_nowait()
    except WouldBlock:
        return
    raise AssertionError(found)


@then("the write may be sent")
def write_sent(context: Context) -> None:
    """Compare the answer."""
    found = context.write.receive_nowait()
    assert found == "", found


@then('the write may not be sent as "{reason}"')
def write_refused(context: Context, reason: str) -> None:
    """Compare the answer."""
    found = context.write.receive_nowait()
    assert found == reason, found


@then('the announcement is confirmed to "{peer}"')
def announcement_confirmed(context: Context, peer: str) -> None:
    """Compare the datagrams."""
    reply = PromotionAnnouncementReceived(ANNOUNCEMENT_ID, INSTANCE)
    found = context.instance.datagrams()
    assert found == [SendDatagram(reply, peer)], found


@then("the fence has got the confirmation and no datagram was sent")
def fence_confirmed(context: Context) -> None:
    """Compare the confirmation."""
    assert context.confirmation.receive_nowait() == NOTHING_ACKNOWLEDGED
    assert not context.instance.datagrams()


@then("{count:d} withdrawals of the primary a were triggered")
def withdrawals(context: Context, count: int) -> None:
    """Compare the triggers."""
    found = context.instance.triggers()
    assert len(found) == count, found
    for trigger in found:
        assert trigger.withdraws_requests and not trigger.is_planned, trigger
        assert (trigger.group, trigger.member) == (GROUP, PRIMARY), trigger


@then("{count:d} losses were reported")
def losses(context: Context, count: int) -> None:
    """Count the log lines."""
    found = [line for line in context.lines if "acknowledged commits missing" in line]
    assert len(found) == count, context.lines
