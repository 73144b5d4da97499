"""Steps for a store that is restored from a copy."""

import json
from math import inf
from unittest import mock

from behave import given, then, when
from behave.runner import Context
from features.support.restored_leases import START_S, RestoredLeases
from features.support.trio_thread import TrioThread
from features.wire.platform_world import initial_configuration
from hypothesis import given as for_all
from hypothesis import seed, settings
from hypothesis import strategies as st
from msgspec.json import decode
from trio import current_time, open_memory_channel, sleep

from jackdawspread.codecs.configuration_copies import configuration_revision
from jackdawspread.decisions.members.restored_entries import (
    TRUSTED_AFTER_S,
    RestoredEntries,
    replace_copied_entries,
)
from jackdawspread.decisions.store_reads.configuration_choice import (
    choose_configuration,
)
from jackdawspread.decisions.store_reads.held_configuration import HeldConfiguration
from jackdawspread.messages.fleet.fleet_configuration import FleetConfiguration
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.messages.fleet.record_outcome import RecordOutcome
from jackdawspread.messages.fleet.record_status import RecordStatus
from jackdawspread.messages.fleet.store_epoch import StoreEpoch
from jackdawspread.platform.configuration_rows import decode_configuration
from jackdawspread.platform.member_poll import MemberPoll
from jackdawspread.tasks.fleet import rate_lease_task
from jackdawspread.tasks.fleet.rate_lease_task import RateLeaseTask

# The store confirms an unchanged configuration to the first instance within this time.
CONFIRMATION_S = 4.0
# A change is in force within this time.
CHANGE_S = 0.5
MAX_AGE_S = 15.0
# The list of members is read at least once in this time.
LIST_S = 2.5
SEED = 7
EXAMPLES = 1500


async def _write_others(context: Context, number: int) -> None:
    for _ in range(number):
        context.platform.store.put("others", "row", b"x")


@given("the store has been copied")
def copied(context: Context) -> None:
    """Copy the rows."""

    async def copy() -> None:
        context.platform.store.copy()

    context.platform.call(copy)


@when("the store is restored")
def restored(context: Context) -> None:
    """Return to the copy, and let the members write their entries again."""

    async def restore() -> None:
        context.platform.store.restore()
        context.platform.group.register()

    context.platform.call(restore)


@when("other rows are written {number:d} times and the configuration is confirmed")
def written_and_confirmed(context: Context, number: int) -> None:
    """Raise the version that the instance knows."""
    context.platform.call(_write_others, context, number)
    context.platform.call(sleep, CONFIRMATION_S)


@when("a caller's key is withdrawn and other rows are written {number:d} times")
def withdrawn_and_written(context: Context, number: int) -> None:
    """Withdraw the key under a version that was given out before."""
    context.caller = context.platform.open()
    context.platform.configuration["Tenants"][0]["ApiKeys"] = []
    context.platform.publish()
    context.platform.call(_write_others, context, number)


@given("any order of writes, pauses, crashes, copies and restores with 4 instances")
def any_order(context: Context) -> None:
    """Draw steps, and pauses around the times of renewal and expiry."""
    action = st.sampled_from(["write", "write", "write", "crash", "copy", "restore"])
    pause = st.sampled_from([0.1, 1.0, 3.0, 6.0, 10.0, 12.5, 14.5])
    step = st.tuples(action, st.integers(0, 3), pause)
    context.most_users = 0

    @seed(SEED)
    @settings(max_examples=EXAMPLES, deadline=None, database=None)
    @for_all(st.lists(step, min_size=10, max_size=40))
    def check(steps: list[tuple[str, int, float]]) -> None:
        leases = RestoredLeases(4)
        for kind, number, seconds in steps:
            getattr(leases, kind)(number)
            leases.wait(0.0)
            leases.wait(seconds)
        context.most_users = max(context.most_users, leases.most_users)

    check()


@then("no part was used by two of them at the same time")
def one_user(context: Context) -> None:
    """Compare the largest number of users that was seen."""
    assert context.most_users == 1, context.most_users


def _store_time() -> float:
    return START_S + current_time()


class _RestorableRecords:
    """Records of a store with one row, in two epochs."""

    def __init__(self) -> None:
        self.epoch_number = 1
        self.version = 0
        self.value = b""
        self.writes = 0

    async def epoch(self) -> StoreEpoch:
        """Return the current epoch."""
        is_first = self.epoch_number == 1
        return StoreEpoch(self.epoch_number, -inf if is_first else _store_time())

    async def read(self, name: str) -> RecordOutcome:
        """Read the record."""
        return self._outcome(RecordStatus.DONE, self.value)

    async def write(
        self, name: str, expected: int, value: bytes, epoch: int
    ) -> RecordOutcome:
        """Write the record if version and epoch are the expected ones."""
        if (expected, epoch) != (self.version, self.epoch_number):
            return self._outcome(RecordStatus.CONFLICT, self.value)
        self.version, self.value = self.version + 1, value
        self.writes += 1
        return self._outcome(RecordStatus.DONE, b"")

    def _outcome(self, status: RecordStatus, value: bytes) -> RecordOutcome:
        return RecordOutcome(
            status, self.version, value, _store_time(), self.epoch_number
        )


@given("an instance that claimed a lease after the store was copied")
def claimed_after_copy(context: Context) -> None:
    """Start the task with an empty record, and let it claim a lease."""
    context.records = _RestorableRecords()
    admission, context.admission = open_memory_channel(100)
    peers, context.peers = open_memory_channel(100)
    context.announce, announcements = open_memory_channel(1)
    task = RateLeaseTask(
        "i1", "10.0.0.1:7", context.records, announcements, admission, peers
    )
    patch = mock.patch.object(rate_lease_task, "seconds_since_boot", current_time)
    patch.start()
    context.add_cleanup(patch.stop)
    context.thread = TrioThread()
    context.add_cleanup(context.thread.stop)
    context.thread.start(task.run)
    _advance_until(context, lambda: context.records.writes > 0)


@when("the store is restored and the instance reads the record")
def restored_and_read(context: Context) -> None:
    """Empty the record in a new epoch."""
    records = context.records
    records.epoch_number, records.version, records.value = 2, 0, b""
    context.writes = records.writes
    _advance_until(context, lambda: records.writes > context.writes)


def _advance_until(context: Context, condition) -> None:
    for _ in range(50):
        if condition():
            return
        context.thread.advance(0.2, step=0.01)
    raise AssertionError("the condition did not hold in time")


@then("it still holds the lease, and writes the record at once")
def still_holds(context: Context) -> None:
    """Check the record in the store, and what the admission task was told."""
    record = decode(context.records.value)
    assert [lease["holder"] for lease in record.values()] == ["i1"], record
    told = []
    while context.admission.statistics().current_buffer_used:
        told.append(context.admission.receive_nowait().leases)
    assert 0 not in told[told.index(1) :], told


def _configuration(version: int, routes: str) -> FleetConfiguration:
    document = initial_configuration()
    document["Version"] = version
    if routes == "other":
        del document["Routes"][0]
    return decode_configuration(json.dumps(document).encode())


@given(
    "version {version:d} of the configuration, which the store had {age:d} s ago "
    "in epoch {epoch:d}"
)
def held(context: Context, version: int, age: int, epoch: int) -> None:
    """Hold a version."""
    configuration = _configuration(version, "the same")
    revision = configuration_revision(configuration)
    confirmed_at = START_S - age
    context.held = HeldConfiguration(
        configuration, revision, epoch, confirmed_at, confirmed_at, 1
    )


@when("the store has version {version:d} with {content} routes in epoch {epoch:d}")
def stored(context: Context, version: int, content: str, epoch: int) -> None:
    """Compare the stored configuration with the held one."""
    revision = configuration_revision(_configuration(version, content))
    context.choice = choose_configuration(
        context.held, revision, epoch, START_S, MAX_AGE_S
    )


@when(
    "another instance has version {version:d} of epoch {epoch:d}, which the store had "
    "{age:d} s ago"
)
def other_has(context: Context, version: int, epoch: int, age: int) -> None:
    """Compare what another instance holds with the held one."""
    revision = configuration_revision(_configuration(version, "other"))
    context.choice = choose_configuration(
        context.held, revision, epoch, START_S - age, MAX_AGE_S
    )


@then("the instance decides to {choice} it")
def decides(context: Context, choice: str) -> None:
    """Compare the choice."""
    assert context.choice.value == choice, context.choice


@when(
    "the configuration changes, the store is restored and another change has its "
    "version"
)
def changes_twice(context: Context) -> None:
    """Publish two configurations of the same version, in two epochs."""
    platform = context.platform
    context.caller = platform.open()
    platform.configuration["Limits"]["TxIdleMs"] = 2000
    platform.publish()
    platform.call(sleep, CHANGE_S)
    restored(context)
    platform.configuration["Version"] -= 1
    platform.configuration["Tenants"][0]["ApiKeys"] = []
    platform.publish()


@given("a member that was {state} when the store was restored")
def known_member(context: Context, state: str) -> None:
    """Know the member, or none."""
    ready = MemberListing("m1", "g", "10.0.0.1:80", "z1", 1, False, False)
    context.ready = ready
    context.known = {"m1": ready._replace(leaving=True)} if state == "leaving" else {}
    context.restored = RestoredEntries({"m1": 5}, START_S + TRUSTED_AFTER_S)


@when("it is listed as ready {seconds:d} s later, with {which} version")
def listed_ready(context: Context, seconds: int, which: str) -> None:
    """Read the list in the new epoch."""
    versions = {"m1": 5 if which == "the same" else 6}
    context.members = replace_copied_entries(
        context.known,
        {"m1": context.ready},
        versions,
        context.restored,
        START_S + seconds,
    )


@then("the member is {state}")
def member_is(context: Context, state: str) -> None:
    """Compare the listing."""
    member = context.members.get("m1")
    found = "gone" if member is None else "leaving" if member.leaving else "ready"
    assert found == state, context.members


@when("the store is restored and no member has written its entry again")
def restored_silently(context: Context) -> None:
    """Return to the copy, and record the lists that the instance takes from it."""
    context.lists = []
    publish = MemberPoll._publish

    async def record(poll, listed, read_at) -> None:
        context.lists.append(listed)
        await publish(poll, listed, read_at)

    patch = mock.patch.object(MemberPoll, "_publish", record)
    patch.start()
    context.add_cleanup(patch.stop)

    async def restore() -> None:
        context.platform.store.restore()

    context.platform.call(restore)
    context.platform.call(sleep, LIST_S)


@then("the former primary still counts as leaving")
def still_leaving(context: Context) -> None:
    """Check every list that was read after the restore."""
    assert context.lists
    assert all(listed[context.former].leaving for listed in context.lists)
