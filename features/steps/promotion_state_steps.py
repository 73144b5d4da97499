"""Steps for the poll of promotion states and its datagrams."""

import json
from math import inf, isfinite

from behave import given, then, when
from behave.runner import Context
from features.fakes.promotion_poll_fleet import (
    DELAY_S,
    PromotionPollFleet,
    boot_time,
    store_time,
)
from features.support.trio_thread import TrioThread
from hypothesis import given as for_all
from hypothesis import seed, settings
from hypothesis import strategies as st
from msgspec.msgpack import encode

from jackdawspread.codecs.peer_datagrams import (
    MAX_INTEGER,
    decode_datagram,
    encode_datagram,
)
from jackdawspread.decisions.store_reads.store_clock_bound import (
    StoreClockBound,
    to_earlier_local_time,
    update_bound,
)
from jackdawspread.messages.fleet.peers_seen import PeersSeen
from jackdawspread.messages.fleet.promotion_announced import PromotionAnnounced
from jackdawspread.messages.fleet.promotion_announcement_received import (
    PromotionAnnouncementReceived,
)
from jackdawspread.messages.fleet.promotion_state import PromotionState
from jackdawspread.messages.fleet.promotion_states_relayed import (
    PromotionStatesRelayed,
)
from jackdawspread.messages.fleet.store_clock_sampled import StoreClockSampled
from jackdawspread.messages.position import Position

SEED = 7
EXAMPLES = 300
STEP_S = 0.005
# Largest time of a call to the store.
MAX_CALL_S = 0.6


# The clock bound


@given("a store whose clock runs {ppm:d} ppm faster than the local one")
def store_clock(context: Context, ppm: int) -> None:
    """Keep the rate of the store's clock, which is set forward by nothing yet."""
    context.rate, context.forward_s = 1 + ppm / 1_000_000, 0.0
    context.checks = []


def _store_s(context: Context, local_s: float) -> float:
    return 9000.0 + context.rate * local_s + context.forward_s


def _call(
    context: Context, bound: StoreClockBound, at: float, there: float, back: float
) -> tuple[StoreClockBound, float]:
    """Return the bound after a call, and the time of its answer."""
    answered_at = at + there
    now = answered_at + back
    # The store's clock shows milliseconds.
    store_s = round(1000 * _store_s(context, answered_at)) / 1000
    return update_bound(bound, store_s, at, now), now


@when("an instance makes calls whose answers take any time")
def any_calls(context: Context) -> None:
    """Draw calls, and note how wrong converted times are."""
    delay = st.floats(0.0, MAX_CALL_S / 2)
    pause = st.floats(0.0, 90.0)

    @seed(SEED)
    @settings(max_examples=EXAMPLES, deadline=None, database=None)
    @for_all(st.lists(st.tuples(pause, delay, delay), min_size=1, max_size=20))
    def check(calls: list[tuple[float, float, float]]) -> None:
        bound, now = StoreClockBound(), 50.0
        for pause_s, there, back in calls:
            bound, now = _call(context, bound, now + pause_s, there, back)
            error_s = now - to_earlier_local_time(bound, _store_s(context, now), now)
            context.checks.append(error_s)
            later = now + 60.0
            converted = to_earlier_local_time(bound, _store_s(context, later), later)
            assert converted <= later, (converted, later)

    check()


@when("its clock is set forward by {seconds:d} s and the instance makes one more call")
def set_forward(context: Context, seconds: int) -> None:
    """Make a call before and after the change."""
    bound, now = _call(context, StoreClockBound(), 50.0, DELAY_S, DELAY_S)
    context.forward_s = seconds
    bound, now = _call(context, bound, now + 1.0, DELAY_S, DELAY_S)
    converted = to_earlier_local_time(bound, _store_s(context, now), now)
    context.checks = [now - converted]


@then("no time of the store's clock is converted to a later local time")
def never_later(context: Context) -> None:
    """Check the smallest error."""
    assert context.checks
    assert min(context.checks) >= 0, min(context.checks)


@then("the converted time is at most {ms:d} ms too early after each call")
def nearly_exact(context: Context, ms: int) -> None:
    """Check the largest error."""
    assert max(context.checks) <= ms / 1000, max(context.checks)


@when("no call has been made")
def no_call(context: Context) -> None:
    """Begin without a bound."""
    context.bound = StoreClockBound()


@then("every time of the store's clock is infinitely long ago")
def long_ago(context: Context) -> None:
    """Convert a time."""
    assert to_earlier_local_time(context.bound, 5000.0, 10.0) == -inf


# The polls


def _start(context: Context, text: str, is_first_start: bool = True) -> None:
    domains = dict(part.split(":") for part in text.split(","))
    context.thread = TrioThread()
    context.add_cleanup(context.thread.stop)
    context.fleet = PromotionPollFleet(domains, is_first_start)
    context.thread.start(context.fleet.run)
    context.thread.advance(0.01)


@given('polls of instances "{text}"')
def polls(context: Context, text: str) -> None:
    """Start the polls."""
    _start(context, text)


@given('polls of instances "{text}" that know each other')
def known_polls(context: Context, text: str) -> None:
    """Start the polls of registered instances."""
    _start(context, text)
    context.thread.call(context.fleet.register)


@given('polls of restarted instances "{text}"')
def restarted_polls(context: Context, text: str) -> None:
    """Start the polls of a fleet that has run before."""
    _start(context, text, is_first_start=False)


@given(
    'polls of instances "{text}" of which "{name}" knows the store\'s clock by a call '
    "of {seconds:g} s"
)
def imprecise(context: Context, text: str, name: str, seconds: float) -> None:
    """Give one instance a sample from a call whose request took long."""
    _start(context, text)

    async def register() -> None:
        fleet = context.fleet
        for each, inbox in fleet.inbox_by_instance.items():
            inbox.send_nowait(PeersSeen(fleet.entry_by_instance))
            if each == name:
                now = boot_time()
                sample = StoreClockSampled(store_time(), now - seconds, now)
                inbox.send_nowait(sample)

    context.thread.call(register)


@given('polls of instances "{text}" of which "{name}" does not know the store\'s clock')
def ignorant(context: Context, text: str, name: str) -> None:
    """Tell the instances of each other only."""
    _start(context, text)

    async def register() -> None:
        fleet = context.fleet
        for inbox in fleet.inbox_by_instance.values():
            inbox.send_nowait(PeersSeen(fleet.entry_by_instance))

    context.thread.call(register)


@given("pages of {rows:d} rows and records of {groups:d} groups")
def pages(context: Context, rows: int, groups: int) -> None:
    """Fill the store."""
    context.fleet.page_rows = rows
    for number in range(groups):
        group = f"a-group-with-a-long-name-{number}"
        context.thread.call(context.fleet.put_lock, group)


def _pass(context: Context, seconds: float) -> None:
    """Advance the clock; the reads and states of this time only are kept."""
    context.fleet.reads.clear()
    context.seen = {}
    for name in context.fleet.entry_by_instance:
        context.thread.call(context.fleet.take_seen, name)
    context.thread.advance(seconds, STEP_S)
    for name in context.fleet.entry_by_instance:
        context.seen[name] = context.thread.call(context.fleet.take_seen, name)


@when("the polls run for {seconds:g} s")
def passes(context: Context, seconds: float) -> None:
    """Advance the clock."""
    _pass(context, seconds)


@when("they get to know each other and {seconds:g} s pass")
def get_to_know(context: Context, seconds: float) -> None:
    """Register all instances."""
    context.thread.call(context.fleet.register)
    _pass(context, seconds)


@when("they are registered and {milliseconds:d} ms pass")
def registered(context: Context, milliseconds: int) -> None:
    """Register all instances, and count the reads from then on."""
    context.fleet.reads.clear()
    context.thread.call(context.fleet.register)
    context.thread.advance(milliseconds / 1000)


@when('"{name}" is lost and {seconds:g} s pass')
def lost_instance(context: Context, name: str, seconds: float) -> None:
    """End one instance."""
    context.thread.call(context.fleet.lose, name)
    _pass(context, seconds)


@when('"{domain}" is cut off from the other failure domains and {seconds:g} s pass')
def cut_off(context: Context, domain: str, seconds: float) -> None:
    """Lose all datagrams to and from one failure domain."""
    entries = context.fleet.entry_by_instance
    context.fleet.lost = {
        (sender, receiver)
        for sender, one in entries.items()
        for receiver, other in entries.items()
        if (one.failure_domain == domain) != (other.failure_domain == domain)
    }
    _pass(context, seconds)


@when('the relays to "{name}" are lost for {seconds:g} s')
def relays_lost(context: Context, name: str, seconds: float) -> None:
    """Lose the datagrams to one instance, and follow the age of its states."""
    newest = context.seen[name][-1].as_of
    context.fleet.lost = {(each, name) for each in context.fleet.entry_by_instance}
    context.ages = []
    for step in range(60):
        if step / 20 >= seconds:
            context.fleet.lost = set()
        _pass(context, 0.05)
        newest = max([newest, *(seen.as_of for seen in context.seen[name])])
        context.ages.append(context.thread.call(_boot_time) - newest)


async def _boot_time() -> float:
    return boot_time()


@when("the store is down for {seconds:g} s")
def store_down(context: Context, seconds: float) -> None:
    """Refuse all calls."""
    context.fleet.is_down = True
    _pass(context, seconds)


@when("the store is back and {seconds:g} s pass")
def store_back(context: Context, seconds: float) -> None:
    """Answer calls again."""
    context.fleet.is_down = False
    _pass(context, seconds)


@when("the store is restored between two pages and {seconds:g} s pass")
def restored_between(context: Context, seconds: float) -> None:
    """Begin the next epoch after the first page of a read."""
    # The first read begins 1 s after the start.
    _pass(context, 0.8)
    context.fleet.restores_after_page = True
    _pass(context, seconds)
    assert context.fleet.epoch == 2 and len(context.fleet.reads) >= 3


VALUE_BY_TEXT = {
    "not JSON": b"{",
    "without a token": b'{"holder": "", "until": 0.0, "ordered": ""}',
    "with a log end of three numbers": (
        b'{"token": 1, "holder": "", "until": 0.0, "ordered": "m1", '
        b'"log_end": [1, 2, 3]}'
    ),
}


@when("the record of a group is {content} and {seconds:g} s pass")
def odd_record(context: Context, content: str, seconds: float) -> None:
    """Write a record that can't be read."""
    context.fleet.value_by_key["duty-g"] = VALUE_BY_TEXT[content]
    _pass(context, seconds)


@when("the marker of epoch 1 is {marker} and {seconds:g} s pass")
def marked(context: Context, marker: str, seconds: float) -> None:
    """Write the marker."""

    async def put() -> None:
        began_s = store_time()
        key, value = {
            "missing": ("", b""),
            "3 s old": ("epoch-1", b"[%f]" % (began_s - 3)),
            "of the future": ("epoch-1", b"[%f]" % (began_s + 60)),
            "not JSON": ("epoch-1", b"{"),
            "of epoch 2": ("epoch-2", b"[%f]" % (began_s - 60)),
        }[marker]
        if key:
            context.fleet.value_by_key[key] = value

    context.thread.call(put)
    _pass(context, seconds)


@then('"{name}" has learned that the epoch is {least:g} to {most:g} s old')
def epoch_age(context: Context, name: str, least: float, most: float) -> None:
    """Compare the age; the marker is no record of a group."""
    newest = context.seen[name][-1]
    assert least <= newest.epoch_age_s <= most and not newest.states, newest
    assert set(context.fleet.reads) != {name}


@when("the record is readable again and {seconds:g} s pass")
def readable_record(context: Context, seconds: float) -> None:
    """Write a record that can be read."""
    context.thread.call(context.fleet.put_lock, "g")
    _pass(context, seconds)


@when(
    'a group is suspended with an outstanding request for "{member}" and {seconds:g} s '
    "pass"
)
def suspended(context: Context, member: str, seconds: float) -> None:
    """Write the record of a holder whose lock has not expired."""

    async def put() -> None:
        await context.fleet.put_lock(
            "g",
            holder="i1",
            until=store_time() + 60,
            ordered=member,
            outstanding=[member],
            suspended=True,
            log_end=[3, 9],
        )

    context.thread.call(put)
    _pass(context, seconds)


@then('only "{names}" have read')
def only_read(context: Context, names: str) -> None:
    """Compare who has called the store."""
    assert sorted(set(context.fleet.reads)) == names.split(","), context.fleet.reads


@then('only "{name}" has read, {least:d} to {most:d} times')
def one_read(context: Context, name: str, least: int, most: int) -> None:
    """Compare who has called the store, and how often."""
    reads = context.fleet.reads
    assert set(reads) == {name} and least <= len(reads) <= most, reads


@then("each poll has read once")
def each_read(context: Context) -> None:
    """Compare who has called the store."""
    fleet = context.fleet
    assert sorted(fleet.reads) == sorted(fleet.inbox_by_instance), fleet.reads


@then("no poll has read")
def none_read(context: Context) -> None:
    """Check that the store was not called."""
    assert not context.fleet.reads, context.fleet.reads


@then('"{name}" has read for itself')
def has_read(context: Context, name: str) -> None:
    """Check that the store was called, and answered."""
    assert name in context.fleet.reads, context.fleet.reads
    assert context.seen[name]


@then("the newest states of each instance are at most {seconds:g} s old")
def are_recent(context: Context, seconds: float) -> None:
    """Compare the age at the end."""
    _check_age(context, context.seen, seconds)


@then(
    'the newest states of each other instance than "{name}" are at most {seconds:g} s '
    "old"
)
def others_are_recent(context: Context, name: str, seconds: float) -> None:
    """Compare the age at the end."""
    _check_age(context, context.seen.keys() - {name}, seconds)


def _check_age(context: Context, names, seconds: float) -> None:
    now = context.thread.call(_boot_time)
    age_by_instance = {name: now - context.seen[name][-1].as_of for name in names}
    assert max(age_by_instance.values()) <= seconds, age_by_instance


@then('the states of "{name}" were never more than {seconds:g} s old')
def never_older(context: Context, name: str, seconds: float) -> None:
    """Compare the largest age; the loss must have had an effect."""
    assert 1.2 < max(context.ages) <= seconds, max(context.ages)


@then("nobody has learned anything meanwhile")
def learned_nothing(context: Context) -> None:
    """Check that no states were reported."""
    assert context.fleet.reads
    assert not any(context.seen.values()), context.seen


@then("the store was asked at most {times:d} times")
def asked_seldom(context: Context, times: int) -> None:
    """Count the calls."""
    assert len(context.fleet.reads) <= times, len(context.fleet.reads)


@then(
    'each state that "{name}" has learned counts as {least:g} to {most:g} s older '
    'than at "{reader}"'
)
def older_than(
    context: Context, name: str, least: float, most: float, reader: str
) -> None:
    """Compare the times of the same reads."""
    pairs = list(zip(context.seen[name], context.seen[reader], strict=True))
    older = [own.as_of - other.as_of for other, own in pairs]
    assert len(older) >= 4 and set(context.fleet.reads) == {reader}
    assert least <= min(older) and max(older) <= most, older


@then('"{name}" has learned of {count:d} groups')
def learned_of(context: Context, name: str, count: int) -> None:
    """Count the states in the newest report."""
    assert len(context.seen[name][-1].states) == count, context.seen[name][-1:]


@then(
    '"{name}" has learned that it is suspended, with "{member}" outstanding and the '
    "log end {term:d}/{sequence:d}"
)
def learned_state(
    context: Context, name: str, member: str, term: int, sequence: int
) -> None:
    """Compare the whole state."""
    log_end = Position(term, sequence)
    expected = PromotionState("g", 1, 3, 7, True, (member,), member, log_end, 7)
    assert context.seen[name][-1].states == (expected,), context.seen[name]
    assert set(context.fleet.reads) != {name}


# The datagrams

IDLE = PromotionState("g", 4, 17)
BUSY = PromotionState(
    "h", 4, 18, 2**34, True, ("m1", "m2"), "m2", Position(3, 9), 2**33
)
MESSAGE_BY_TEXT = {
    "relayed states": PromotionStatesRelayed("i1", 4, 1.5, (IDLE, BUSY)),
    "an idle state": PromotionAnnounced(3, IDLE),
    "no states": PromotionStatesRelayed("i1", 4, 1.5, ()),
    "an announcement": PromotionAnnounced(0, BUSY),
    "a confirmation": PromotionAnnouncementReceived(3, "i1@10.0.0.1"),
}


@when('a datagram "{text}" is encoded and decoded')
def round_trip(context: Context, text: str) -> None:
    """Encode and decode a message."""
    context.sent = MESSAGE_BY_TEXT[text]
    context.message = decode_datagram(encode_datagram(context.sent))


@then("the datagram is unchanged")
def unchanged(context: Context) -> None:
    """Compare the messages."""
    assert context.message == context.sent, context.message


@when("a datagram about promotions with {fields} is decoded")
def decoded(context: Context, fields: str) -> None:
    """Decode a datagram."""
    context.message = decode_datagram(encode(json.loads(fields)))


@then("the datagram is dropped")
def dropped(context: Context) -> None:
    """Check that there is no message."""
    assert context.message is None, context.message


@then("any fields give a checked message about promotions or none")
def any_fields(context: Context) -> None:
    """Generate fields, of which many have the right types."""
    number = st.integers(-1, MAX_INTEGER + 1) | st.just(1)
    name = st.sampled_from(["g", "m1", "", "a b", "x\n"])
    position = st.none() | st.lists(number, max_size=3)
    members = st.lists(name, max_size=2)
    state = st.tuples(
        name, number, number, number, st.booleans(), members, name, position
    )
    fields = st.one_of(
        st.tuples(st.just(11), name, number, st.floats(), st.lists(state, max_size=2)),
        st.tuples(st.just(12), number, state),
        st.tuples(st.just(13), number, name),
    )
    context.accepted = 0

    @seed(SEED)
    @settings(max_examples=10 * EXAMPLES, deadline=None, database=None)
    @for_all(fields)
    def check(values: tuple) -> None:
        message = decode_datagram(encode((2, *values)))
        if message is None:
            return
        context.accepted += 1
        assert decode_datagram(encode_datagram(message)) == message
        if isinstance(message, PromotionStatesRelayed):
            assert isfinite(message.store_time_s)
            states = message.states
        else:
            states = getattr(message, "state", None)
            states = (states,) if states else ()
        for each in states:
            assert 0 <= each.token <= MAX_INTEGER
            for member in (*each.outstanding, each.last_requested):
                assert " " not in member and "\n" not in member
            assert all(part >= 0 for part in each.log_end or ())

    check()
    assert context.accepted > 0
