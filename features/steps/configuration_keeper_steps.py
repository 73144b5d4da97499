"""Steps for the configuration keeper and what admission makes of it."""

from math import inf
from unittest import mock
from zlib import compress

from behave import given, then, when
from behave.runner import Context
from features.support.trio_thread import TrioThread
from features.wire.platform_world import KEY, initial_configuration
from msgspec.json import encode as encode_json
from msgspec.msgpack import encode
from trio import MemoryReceiveChannel, WouldBlock, current_time, open_memory_channel

from jackdawspread.codecs.configuration_copies import (
    configuration_revision,
    encode_changes,
)
from jackdawspread.decisions.store_reads.configuration_changes import (
    EMPTY_CONFIGURATION,
    configuration_changes,
)
from jackdawspread.decisions.store_reads.reader_role import DIGEST_INTERVAL_S
from jackdawspread.messages.fleet.admission_request import AdmissionRequest
from jackdawspread.messages.fleet.configuration_copy import ConfigurationCopy
from jackdawspread.messages.fleet.configuration_copy_query import (
    ConfigurationCopyQuery,
)
from jackdawspread.messages.fleet.configuration_digest import ConfigurationDigest
from jackdawspread.messages.fleet.configuration_fetched import ConfigurationFetched
from jackdawspread.messages.fleet.configuration_revision import NO_REVISION
from jackdawspread.messages.fleet.configuration_seen import ConfigurationSeen
from jackdawspread.messages.fleet.configuration_way import ConfigurationWay
from jackdawspread.messages.fleet.fleet_configuration import FleetConfiguration
from jackdawspread.messages.fleet.instance_entry import InstanceEntry
from jackdawspread.messages.fleet.newer_configuration_known import (
    NewerConfigurationKnown,
)
from jackdawspread.messages.fleet.operation_admitted import OperationAdmitted
from jackdawspread.messages.fleet.rate_leases_held import RateLeasesHeld
from jackdawspread.messages.fleet.store_reading import StoreReading
from jackdawspread.messages.fleet.stored_configuration_seen import (
    StoredConfigurationSeen,
)
from jackdawspread.messages.refusal import Refusal
from jackdawspread.platform.configuration_rows import decode_configuration
from jackdawspread.tasks.fleet import (
    admission_task,
    configuration_fetches,
    configuration_in_use,
    configuration_keeper,
)
from jackdawspread.tasks.fleet.admission_task import AdmissionTask
from jackdawspread.tasks.fleet.configuration_exchange import ConfigurationExchange
from jackdawspread.tasks.fleet.configuration_fetches import ConfigurationFetches
from jackdawspread.tasks.fleet.configuration_in_use import ConfigurationInUse
from jackdawspread.tasks.fleet.configuration_keeper import ConfigurationKeeper
from jackdawspread.tasks.fleet.evacuation_tracker import EvacuationTracker
from jackdawspread.tasks.fleet.store_reading_role import StoreReadingRole

# Differences between the store's clock, the boot-time clock and the monotonic one.
STORE_OFFSET_S = 5000.0
BOOT_OFFSET_S = 1000.0
MAX_AGE_S = 15.0
STEP_S = 0.01


def _boot_time() -> float:
    return current_time() + BOOT_OFFSET_S


def _configuration(version: int) -> FleetConfiguration:
    document = {**initial_configuration(), "Version": version}
    return decode_configuration(encode_json(document))


@given("an instance that has just started")
def started(context: Context) -> None:
    """Run the keeper of an instance with a simulated clock."""
    context.thread = TrioThread()
    context.add_cleanup(context.thread.stop)
    for module in (configuration_keeper, configuration_fetches, configuration_in_use):
        patch = mock.patch.object(module, "seconds_since_boot", _boot_time)
        patch.start()
        context.add_cleanup(patch.stop)
    reader, context.reader = open_memory_channel(100)
    peers, context.peers = open_memory_channel(1000)
    copier, context.fetches = open_memory_channel(1)
    admission, context.admission = open_memory_channel(100)
    router, context.router = open_memory_channel(100)
    acknowledgements, context.acknowledgements = open_memory_channel(100)
    context.keeper, inbox = open_memory_channel(100)
    entry = InstanceEntry("10.0.0.1:7", "z1")
    role = StoreReadingRole("own", 1e6, reader)
    exchange = ConfigurationExchange("own", entry, 1e6, 8, role, peers)
    evacuations = EvacuationTracker(("z1", "z2"), 5.0, MAX_AGE_S)
    in_use = ConfigurationInUse(
        MAX_AGE_S,
        evacuations,
        lambda configuration: None,
        admission,
        router,
        acknowledgements,
    )
    fetches = ConfigurationFetches(in_use, exchange, copier)
    keeper = ConfigurationKeeper(in_use, exchange, fetches, inbox)
    context.thread.start(keeper.run)


def _deliver(context: Context, event: object) -> None:
    async def send() -> None:
        await context.keeper.send(event)

    context.thread.call(send)
    context.thread.advance(STEP_S, STEP_S)


def _now(context: Context) -> float:
    async def now() -> float:
        return current_time()

    return context.thread.call(now)


@when("the store answers with version {version:d} as of {age:d} s ago")
def store_answers(context: Context, version: int, age: int) -> None:
    """Report a complete answer whose transfer has taken as long as its age."""
    _store_answers(context, version, 1, age)


@when("the store answers with version {version:d} of epoch {epoch:d}")
def store_answers_in_epoch(context: Context, version: int, epoch: int) -> None:
    """Report a complete answer of a restored store."""
    _store_answers(context, version, epoch, 0)


@when("{seconds:d} s later the store answers with version {version:d}")
def store_answers_later(context: Context, seconds: int, version: int) -> None:
    """Report a complete answer."""
    context.thread.advance(seconds, 0.1)
    _store_answers(context, version, 1, 0)


def _store_answers(context: Context, version: int, epoch: int, age: int) -> None:
    configuration = _configuration(version)
    answered_at = _now(context) - age
    _deliver(
        context,
        StoredConfigurationSeen(
            ConfigurationWay.READ,
            configuration,
            False,
            configuration_revision(configuration),
            {},
            epoch,
            version,
            answered_at + STORE_OFFSET_S,
            answered_at + BOOT_OFFSET_S,
        ),
    )


def _digest(
    context: Context, instance: str, version: int, epoch: int, age: int
) -> ConfigurationDigest:
    return ConfigurationDigest(
        instance,
        "10.0.0.2:7",
        "z1",
        configuration_revision(_configuration(version)),
        epoch,
        version,
        _now(context) - age + STORE_OFFSET_S,
        None,
        True,
        1e6,
        0,
    )


def _announce(
    context: Context, instance: str, version: int, epoch: int = 1, age: int = 0
) -> ConfigurationDigest:
    digest = _digest(context, instance, version, epoch, age)
    _deliver(context, digest)
    return digest


def _give_copy(
    context: Context, digest: ConfigurationDigest, version: int | None = None
) -> None:
    fetch = context.fetches.receive_nowait()
    assert fetch.source == digest.instance, fetch
    configuration = _configuration(version or digest.revision.version)
    changes = configuration_changes(EMPTY_CONFIGURATION, configuration)
    copy = ConfigurationCopy(
        digest.revision,
        NO_REVISION,
        digest.epoch,
        digest.store_version,
        digest.confirmed_s,
        {},
        encode_changes(changes),
    )
    _deliver(context, ConfigurationFetched(digest.instance, copy))


@when("another instance announces version {version:d} and gives a copy of it")
def announced_and_given(context: Context, version: int) -> None:
    """Announce a version and answer the fetch."""
    _give_copy(context, _announce(context, "a", version))


@when(
    "another instance announces version {version:d} of epoch {epoch:d} and gives a "
    "copy of it"
)
def announced_in_epoch(context: Context, version: int, epoch: int) -> None:
    """Announce what was in force before a restore and answer the fetch."""
    _give_copy(context, _announce(context, "a", version, epoch))


@when(
    "{seconds:d} s later another instance announces version {version:d} as of "
    "{age:d} s ago"
)
def announced_later(context: Context, seconds: int, version: int, age: int) -> None:
    """Announce what is held."""
    context.thread.advance(seconds, 0.1)
    _announce(context, "a", version, 1, age)


@when('instances "a" and "b" announce version {version:d}, and the first fetch fails')
def first_fails(context: Context, version: int) -> None:
    """Fail the first fetch."""
    for instance in "ab":
        _announce(context, instance, version)
    context.first = context.fetches.receive_nowait()
    _deliver(context, ConfigurationFetched(context.first.source, None))


@then("the other one is asked")
def other_asked(context: Context) -> None:
    """Compare the sources."""
    second = context.fetches.receive_nowait()
    assert {context.first.source, second.source} == {"a", "b"}, second


@when('instance "a" announces version {version:d}, and no fetch succeeds')
def no_fetch_succeeds(context: Context, version: int) -> None:
    """Announce a version that nobody has."""
    _announce(context, "a", version)
    context.fetches.receive_nowait()
    _deliver(context, ConfigurationFetched("a", None))


@then("admission is told that version {version:d} is the newest one")
def newest_is(context: Context, version: int) -> None:
    """Compare the last report of a newer version."""
    events = _received(context.admission)
    newer = [event for event in events if isinstance(event, NewerConfigurationKnown)]
    assert newer[-1] == NewerConfigurationKnown(version, inf), newer


@when("{seconds:d} s later it announces version {version:d}")
def announces_later(context: Context, seconds: int, version: int) -> None:
    """Announce a version that the instance does not get."""
    context.thread.advance(seconds, 0.1)
    _announce(context, "a", version)


@when("it gives a copy of version {version:d} as of {age:d} s ago")
def late_copy(context: Context, version: int, age: int) -> None:
    """Answer a fetch whose transfer has taken as long as its age."""
    _give_copy(context, _digest(context, "a", version, 1, age))


@then("version {version:d} is the newest one, and one is missing for {seconds:d} s")
def missing_since(context: Context, version: int, seconds: int) -> None:
    """Compare the last report, after which no other configuration was reported."""
    newer = _received(context.admission)[-1]
    assert isinstance(newer, NewerConfigurationKnown), newer
    known_s = _now(context) + BOOT_OFFSET_S - newer.known_since
    assert newer.version == version and abs(known_s - seconds) < 0.1, (newer, known_s)


@when(
    'instance "a" announces version {version:d} and gives the changes to version '
    "{given_version:d}"
)
def other_changes(context: Context, version: int, given_version: int) -> None:
    """Give a copy that leads to another configuration."""
    digest = _announce(context, "a", version)
    _give_copy(context, digest, given_version)


@then("the next fetch asks for everything")
def fetch_everything(context: Context) -> None:
    """Announce the version again and look at the fetch."""
    context.thread.advance(1, 0.1)
    _announce(context, "a", 5)
    assert context.fetches.receive_nowait().base == NO_REVISION


@when("3 readers announce version {version:d} for {seconds:d} s")
def readers_announce(context: Context, version: int, seconds: int) -> None:
    """Announce at the readers' interval."""
    for _ in range(round(seconds / DIGEST_INTERVAL_S)):
        for instance in "abc":
            _announce(context, instance, version)
        context.thread.advance(DIGEST_INTERVAL_S, 0.1)


@then("it begins to read the store")
def reads(context: Context) -> None:
    """Look at the last order to the reader."""
    orders = _received(context.reader)
    readings = [order for order in orders if isinstance(order, StoreReading)]
    assert [order.is_on for order in readings][-2:] == [False, True], readings


@when(
    "1 s later an instance at position {position:d} announces version {version:d} and "
    "an evacuation"
)
def announces_evacuation(context: Context, position: int, version: int) -> None:
    """Announce the held version beside an evacuation that is not known here."""
    context.thread.advance(1, 0.1)
    digest = _digest(context, "a", version, 1, 0)
    context.digest = digest._replace(store_version=position, evacuated_domains=("z2",))
    _deliver(context, context.digest)


@when(
    "the store reports an evacuation at position {position:d} before the copy arrives"
)
def evacuated_before_copy(context: Context, position: int) -> None:
    """Report a change, then deliver a copy from before it."""
    _feed_answers(context, position, evacuations={"z1": position})
    _give_copy(context, context.digest)


def _feed_answers(
    context: Context,
    position: int,
    is_absent: bool = False,
    evacuations: dict[str, int | None] | None = None,
) -> None:
    """Report an answer of the feed without a version of the configuration."""
    now = _now(context)
    answer = StoredConfigurationSeen(
        ConfigurationWay.FEED,
        None,
        is_absent,
        NO_REVISION,
        evacuations or {},
        1,
        position,
        now + STORE_OFFSET_S,
        now + BOOT_OFFSET_S,
    )
    _deliver(context, answer)


@when("the feed reports its removal, and {seconds:d} s later that nothing has changed")
def removed(context: Context, seconds: int) -> None:
    """Report the removal as the feed's answer is decoded."""
    _feed_answers(context, 4, is_absent=True)
    context.thread.advance(seconds, 0.1)
    _feed_answers(context, 5)


@then("the instance knows all changes up to position {position:d}")
def knows_up_to(context: Context, position: int) -> None:
    """Look at a copy that the instance gives."""
    assert _given_copy(context).store_version == position


@then("a copy is fetched")
def copy_fetched(context: Context) -> None:
    """The evacuation is on its way."""
    assert context.fetches.receive_nowait().source == "a"


@then("the failure domain is still evacuated")
def still_evacuated(context: Context) -> None:
    """Look at a copy that the instance gives."""
    evacuations = _given_copy(context).evacuation_version_by_domain
    assert "z1" in evacuations, evacuations


def _given_copy(context: Context) -> ConfigurationCopy:
    reply_to, reply = open_memory_channel(1)
    _deliver(context, ConfigurationCopyQuery(NO_REVISION, reply_to))
    return reply.receive_nowait()


def _received(channel: MemoryReceiveChannel) -> list:
    received = []
    while True:
        try:
            received.append(channel.receive_nowait())
        except WouldBlock:
            return received


def _reports(context: Context) -> list[ConfigurationSeen]:
    events = _received(context.admission)
    return [event for event in events if isinstance(event, ConfigurationSeen)]


@then("version {version:d} is in use")
def in_use(context: Context, version: int) -> None:
    """Compare the last configuration that admission was given."""
    context.reports = _reports(context)
    taken = [item.configuration for item in context.reports if item.configuration]
    assert taken[-1].version == version, taken[-1].version


@then("its age is known")
def age_known(context: Context) -> None:
    """Check that the age was reported once the store's clock was known."""
    newest = max(report.as_of for report in context.reports)
    assert abs(newest - BOOT_OFFSET_S - _now(context)) < 1, newest


@then("the age of the configuration is {seconds:d} s")
def age_is(context: Context, seconds: int) -> None:
    """Compare with the last confirmation."""
    newest = max(report.as_of for report in _reports(context))
    age_s = _now(context) + BOOT_OFFSET_S - newest
    assert abs(age_s - seconds) < 0.1, age_s


@given("an instance with version {version:d}, which may be outdated for {limit:d} s")
def admission(context: Context, version: int, limit: int) -> None:
    """Run the admission task with a simulated clock."""
    context.thread = TrioThread()
    context.add_cleanup(context.thread.stop)
    patch = mock.patch.object(admission_task, "seconds_since_boot", _boot_time)
    patch.start()
    context.add_cleanup(patch.stop)
    context.admission, inbox = open_memory_channel(100)
    peers, context.peers = open_memory_channel(100)

    async def run() -> None:
        await AdmissionTask(MAX_AGE_S, limit, inbox, peers, 0.003).run()

    context.thread.start(run)
    _tell(context, RateLeasesHeld(4, 1e9, ()))
    _tell(context, ConfigurationSeen(_configuration(version), BOOT_OFFSET_S))


def _tell(context: Context, event: object) -> None:
    async def send() -> None:
        await context.admission.send(event)

    context.thread.call(send)
    context.thread.advance(STEP_S, STEP_S)


@when("a newer version has been known for {seconds:g} s and {arrives}")
def newer_known(context: Context, seconds: float, arrives: str) -> None:
    """Report a newer version, let time pass, and deliver it if it arrives."""
    known_since = _now(context) + BOOT_OFFSET_S
    _tell(context, NewerConfigurationKnown(5, known_since))
    context.thread.advance(seconds, 0.1)
    if arrives == "arrives":
        as_of = _now(context) + BOOT_OFFSET_S
        _tell(context, ConfigurationSeen(_configuration(5), as_of))


@then("an operation is {result}")
def operation_is(context: Context, result: str) -> None:
    """Request the admission of an operation."""
    reply_to, reply = open_memory_channel(1)
    _tell(context, AdmissionRequest("primary-db", KEY, True, reply_to))
    answer = reply.receive_nowait()
    expected = {"admitted": OperationAdmitted, "refused": Refusal}[result]
    assert isinstance(answer, expected), answer
    assert result == "admitted" or answer.code == "busy", answer


@when(
    "an instance of the earlier version announces version {version:d} and gives a "
    "copy of it"
)
def earlier_copy(context: Context, version: int) -> None:
    """Give a copy that lacks the numbers of synchronous replicas."""
    digest = _announce(context, "a", version)
    context.fetches.receive_nowait()
    configuration = _configuration(version)
    groups = {name: group[:3] for name, group in configuration.group_by_name.items()}
    changes = configuration_changes(EMPTY_CONFIGURATION, configuration)
    copy = ConfigurationCopy(
        digest.revision,
        NO_REVISION,
        digest.epoch,
        digest.store_version,
        digest.confirmed_s,
        {},
        compress(encode(changes._replace(group_by_name=groups))),
    )
    _deliver(context, ConfigurationFetched("a", copy))


@when(
    "the store answers with version {version:d}, whose groups have {count:d} "
    "synchronous replicas"
)
def store_answers_replicas(context: Context, version: int, count: int) -> None:
    """Report a complete answer."""
    groups = {
        name: group._replace(sync_replicas=count)
        for name, group in _configuration(version).group_by_name.items()
    }
    configuration = _configuration(version)._replace(group_by_name=groups)
    seen = StoredConfigurationSeen(
        ConfigurationWay.READ,
        configuration,
        False,
        configuration_revision(configuration),
        {},
        1,
        version,
        _now(context) + STORE_OFFSET_S,
        _now(context) + BOOT_OFFSET_S,
    )
    _deliver(context, seen)


@then("the groups in use have {count:d} synchronous replicas")
def groups_in_use(context: Context, count: int) -> None:
    """Read what the acknowledgement task was told, as the router was."""
    reports = context.acknowledgements
    seen = [
        reports.receive_nowait()
        for _ in range(reports.statistics().current_buffer_used)
    ]
    groups = seen[-1].configuration.group_by_name.values()
    assert {group.sync_replicas for group in groups} == {count}, groups
