"""Steps for members that are slow after a start."""

from math import isfinite
from time import monotonic
from unittest import mock

from behave import given, then, when
from behave.runner import Context
from features.wire.platform_world import PlatformWorld
from trio import open_memory_channel

from jackdawspread.decisions.members.cold_members import cold_bucket_name, is_cold
from jackdawspread.decisions.members.group_state import GroupState
from jackdawspread.decisions.members.group_updates import (
    apply_member_list,
    apply_observation,
)
from jackdawspread.messages.fleet.member_group import MemberGroup
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.messages.fleet.member_unreachable import MemberUnreachable
from jackdawspread.messages.fleet.members_seen import MembersSeen
from jackdawspread.messages.fleet.rate_leases_held import RateLeasesHeld
from jackdawspread.platform import member_rows
from jackdawspread.platform.store_rows import StoreRow
from jackdawspread.tasks.fleet.rate_buckets import RateBuckets
from jackdawspread.tasks.members.group_monitor import GroupMonitor

NOW = 100.0
LEASES = 4
ENTRY = (
    b'{"Service":"g","Address":"10.0.0.1:80","Zone":"z1","State":"ready",'
    b'"DbRole":"replica","Slots":2,"ColdRemainingMs":%s}'
)


@given("a group that allows {rate:d} statements each second for a cold member")
def group_allows(context: Context, rate: int) -> None:
    """Keep the group."""
    context.group_by_name = {"g": MemberGroup("g", 16, float(rate))}


@given("{count:d} holders of the rate leases, which restart at once {restarts:d} times")
def holders(context: Context, count: int, restarts: int) -> None:
    """Take all tokens every 10 ms for 1 s, after a second in which nobody took any."""
    context.taken = 0
    for start in range(restarts + 1):
        buckets = [_buckets(context, LEASES // count) for _ in range(count)]
        for bucket in buckets:
            bucket.spend(cold_bucket_name("g", "m0"), NOW - 1)
        for step in range(101 if start == restarts else 1):
            for bucket in buckets:
                while bucket.spend(cold_bucket_name("g", "m0"), NOW + step / 100):
                    context.taken += 1


def _buckets(context: Context, leases: int) -> RateBuckets:
    buckets = RateBuckets()
    buckets.group_by_name = context.group_by_name
    buckets.set_held(RateLeasesHeld(leases, float("inf"), ()))
    return buckets


@then("at most {most:d} statements get a token within 1 s")
def at_most(context: Context, most: int) -> None:
    """Compare the tokens of all holders."""
    assert 0 < context.taken <= most, context.taken


@given("a list in which a member is cold for {seconds:f} s")
def listed_cold(context: Context, seconds: float) -> None:
    """Apply the first list."""
    context.state, context.now = GroupState(), NOW
    _apply(context, seconds)


@when("the list says {later:d} s later that it is cold for {seconds:f} s")
def listed_later(context: Context, later: int, seconds: float) -> None:
    """Apply a later list."""
    context.now = NOW + later
    _apply(context, seconds)


def _apply(context: Context, seconds: float) -> None:
    listing = MemberListing("m0", "g", "10.0.0.1:80", "z1", 2, False, True, seconds)
    context.state = apply_member_list(context.state, {"m0": listing}, context.now)


@given("a member that is cold for {cold:d} s in a list that counts as {age:d} s old")
def relayed_cold(context: Context, cold: int, age: int) -> None:
    """Apply a list that another instance has read."""
    listing = MemberListing("m0", "g", "10.0.0.1:80", "z1", 2, False, True, cold)
    broker, _ = open_memory_channel(1)
    monitor = GroupMonitor(None, None, broker)
    monitor.update_members(MembersSeen({"m0": listing}, NOW - age), NOW)
    context.state, context.now = monitor.state("g"), NOW


@given("a list with an entry that is cold for 8 s and was born at {born}")
def first_entry(context: Context, born: str) -> None:
    """Apply the first list."""
    context.state, context.now = GroupState(), NOW
    _apply_entry(context, born)


@when("a list 9 s later has an entry that is cold for 8 s and was born at {born}")
def later_entry(context: Context, born: str) -> None:
    """Apply a list that is read after the first cold time."""
    context.now = NOW + 9
    _apply_entry(context, born)


def _apply_entry(context: Context, born: str) -> None:
    value = ENTRY % b"8000"
    value = value.replace(b"}", b',"born":%s}' % born.encode())
    listed = member_rows.decode_members([StoreRow("m0", value, 1, False)], set())
    context.state = apply_member_list(context.state, listed, context.now)


@when("it can't be reached")
def not_reached(context: Context) -> None:
    """Apply a failed connection."""
    failed = MemberUnreachable("g", "m0", context.now, False, "reset")
    context.state = apply_observation(failed, context.state)


@when("the next list is read {seconds} s later")
def next_list(context: Context, seconds: str) -> None:
    """Apply a list, unless the time is infinite."""
    if isfinite(float(seconds)):
        context.now = NOW + float(seconds)
        _apply(context, 0.0)


@then("it is {state} after {seconds:g} s")
def cold_after(context: Context, state: str, seconds: float) -> None:
    """Compare whether the statements for the member are limited."""
    group = MemberGroup("g", 16, 8.0)
    cold = is_cold(context.state, group, "m0", NOW + seconds)
    assert cold == (state == "cold"), context.state


@then("the member is cold for {seconds:d} s more")
def cold_for(context: Context, seconds: int) -> None:
    """Compare the time that is left."""
    until = context.state.cold_until_by_member.get("m0", context.now)
    assert until - context.now == seconds, until


@given("an entry of a member with the cold time {value}")
def entry_with(context: Context, value: str) -> None:
    """Decode the same entry twice."""
    row, skipped = StoreRow("m0", ENTRY % value.encode(), 1, False), set()
    with mock.patch.object(member_rows.logging, "warning") as context.warning:
        for _ in range(2):
            context.listed = member_rows.decode_members([row], skipped)


@then("the member is listed and cold for {seconds:d} s")
def listed_and_cold(context: Context, seconds: int) -> None:
    """Compare the cold time."""
    assert context.listed["m0"].cold_remaining_s == seconds, context.listed


@then("it was logged {count:d} times in 2 lists")
def logged(context: Context, count: int) -> None:
    """Count the log lines."""
    assert context.warning.call_count == count, context.warning.call_args_list


@given("an instance whose primary is cold and may get {rate:d} statements each second")
def cold_primary(context: Context, rate: int) -> None:
    """Start an instance beside a member that has just started."""
    context.platform = PlatformWorld()
    context.platform.configuration["Services"][0]["ColdPerS"] = rate
    context.platform.group.cold_ms_by_member = {"m0": 60_000}
    context.platform.start()
    context.add_cleanup(context.platform.close)
    context.platform.group.runs.clear()


@when("{count:d} writes are sent one after the other")
def writes_sent(context: Context, count: int) -> None:
    """Send writes in one session."""
    started_at = monotonic()
    caller = context.platform.open()
    context.answers = [
        context.platform.query(caller, f"WRITE item {number}")[0]
        for number in range(count)
    ]
    context.elapsed_s = monotonic() - started_at


@then(
    "at most {rate:d} for each second and {slack:d} more ran, and the others were "
    "refused as not run"
)
def ran_at_most(context: Context, rate: int, slack: int) -> None:
    """Compare what ran with the time, and with the answers."""
    ran = len(context.platform.group.runs)
    assert 0 < ran <= slack + rate * context.elapsed_s, (ran, context.elapsed_s)
    done = [answer for answer in context.answers if answer.startswith("DONE")]
    refused = [answer for answer in context.answers if answer.startswith("ERR BUSY")]
    assert len(done) == ran and len(done) + len(refused) == len(context.answers)
