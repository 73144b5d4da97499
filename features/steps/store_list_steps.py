"""Steps for lists and records that are read from the store."""

from unittest import mock

from behave import then, when
from behave.runner import Context
from features.fakes.paged_store import PagedStore
from trio import open_memory_channel, open_nursery, run

from jackdawspread.messages.fleet.configuration_event import ConfigurationEvent
from jackdawspread.messages.fleet.configuration_reader_event import (
    ConfigurationReaderEvent,
)
from jackdawspread.messages.fleet.record_outcome import RecordOutcome
from jackdawspread.messages.fleet.record_request import RecordRequest
from jackdawspread.messages.fleet.store_reading import StoreReading
from jackdawspread.messages.fleet.stored_configuration_seen import (
    StoredConfigurationSeen,
)
from jackdawspread.platform import configuration_reader, record_store
from jackdawspread.platform.configuration_reader import ConfigurationReader
from jackdawspread.platform.epoch_markers import EpochMarkers
from jackdawspread.platform.read_rows import read_rows
from jackdawspread.platform.record_store import RecordStore
from jackdawspread.tasks.fleet.record_client import RecordClient

TABLE = "records"


@when("a list is read whose pages are {pages}")
def list_read(context: Context, pages: str) -> None:
    """Read all pages."""
    store = PagedStore(pages.split(" / "))
    context.rows = run(read_rows, store, TABLE, "", 1.0, lambda outcome: None)


@then("the list is {rows}")
def list_is(context: Context, rows: str) -> None:
    """Compare keys and versions."""
    if context.rows is None:
        found = "unknown"
    else:
        texts = [f"{row.key}@{row.version}" for row in context.rows]
        found = " ".join(texts) or "empty"
    assert found == rows, found


@when("the configuration is read whose pages are {pages}")
def configuration_read(context: Context, pages: str) -> None:
    """Run the reader until it reports what it has read."""
    context.store = PagedStore(pages.split(" / "))

    async def read() -> StoredConfigurationSeen:
        orders, inbox = open_memory_channel[ConfigurationReaderEvent](1)
        keeper, seen = open_memory_channel[ConfigurationEvent](10)
        orders.send_nowait(StoreReading(True, 1.0, 0, 0, 0))
        with mock.patch.object(
            configuration_reader, "HttpClient", lambda *_: context.store
        ):
            async with open_nursery() as tasks:
                tasks.start_soon(ConfigurationReader("", inbox, keeper).run)
                event = await seen.receive()
                tasks.cancel_scope.cancel()
        return event

    context.seen = run(read)


@then("evacuations of {domains} are known in epoch {epoch:d} after {calls:d} calls")
def evacuations_known(context: Context, domains: str, epoch: int, calls: int) -> None:
    """Compare the first report."""
    found = context.seen.evacuation_version_by_domain
    assert sorted(found) == domains.split(), found
    assert context.seen.epoch == epoch, context.seen
    reads = [target for target in context.store.targets if "/rows-get" in target]
    assert len(reads) == calls, context.store.targets


@when("a record is read and the answer has {rows}")
def record_read(context: Context, rows: str) -> None:
    """Read it through the adapter."""
    store = PagedStore([rows])

    async def read() -> RecordOutcome:
        calls, inbox = open_memory_channel[RecordRequest](1)
        with mock.patch.object(record_store, "HttpClient", lambda *_: store):
            async with open_nursery() as tasks:
                tasks.start_soon(RecordStore("", "test", False, inbox).run)
                outcome = await RecordClient(calls).read("a")
                tasks.cancel_scope.cancel()
        return outcome

    context.version = run(read).version


@when("the marker of epoch 3 is read and the answer has {rows}")
def marker_read(context: Context, rows: str) -> None:
    """Read it as a task that writes in the epoch does."""
    markers = EpochMarkers("test", False)
    context.version = run(markers.current, PagedStore([rows])).version


@then("the record has version {version:d}")
@then("the marker has version {version:d}")
def version_is(context: Context, version: int) -> None:
    """Compare the version."""
    assert context.version == version, context.version
