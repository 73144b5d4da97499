"""Steps for the list of instances."""

from unittest import mock

from behave import given, then, when
from behave.runner import Context
from features.fakes.memory_records import MemoryRecords
from features.support.trio_thread import TrioThread
from features.wire.table_store import TableStore
from trio import (
    CancelScope,
    Event,
    open_memory_channel,
    open_nursery,
    open_tcp_listeners,
)

from jackdawspread.messages.fleet.instance_entry import InstanceEntry
from jackdawspread.messages.fleet.peers_seen import PeersSeen
from jackdawspread.messages.fleet.record_outcome import RecordOutcome
from jackdawspread.messages.fleet.record_request import RecordRequest
from jackdawspread.messages.fleet.record_status import RecordStatus
from jackdawspread.platform.record_store import RecordStore
from jackdawspread.platform.store_entries import TABLE
from jackdawspread.tasks.fleet.decode_instance_entry import INSTANCE_PREFIX
from jackdawspread.tasks.fleet.instance_directory import InstanceDirectory
from jackdawspread.tasks.fleet.record_client import RecordClient
from jackdawspread.tasks.http_server import HttpServer

INBOX = 1000


@given('instances "{names}" that register in one store')
def register(context: Context, names: str) -> None:
    """Start the directories of the instances."""
    context.records = MemoryRecords()
    context.thread = TrioThread()
    context.add_cleanup(context.thread.stop)
    context.scope_by_instance, context.seen_by_instance = {}, {}
    context.registered_by_instance = {}
    for number, name in enumerate(names.split(",")):
        entry = InstanceEntry(f"10.0.0.{number}:7", "z1")
        _start(context, name, entry, is_first_start=True)


@given('instances "{names}" that register in one store, which does not answer')
def register_in_vain(context: Context, names: str) -> None:
    """Start the directories while the outcome of every write is unknown."""

    async def put(records: MemoryRecords, name: str, value: bytes) -> RecordOutcome:
        return RecordOutcome(RecordStatus.UNKNOWN)

    patch = mock.patch.object(MemoryRecords, "put", put)
    patch.start()
    context.add_cleanup(patch.stop)
    register(context, names)


def _start(
    context: Context, name: str, entry: InstanceEntry, is_first_start: bool
) -> None:
    scope = context.scope_by_instance[name] = CancelScope()
    # The receiving ends are kept, as a channel without one is broken.
    (router, _router), (broker, _broker), (members, _members), (feed, _feed) = (
        open_memory_channel(INBOX) for _ in range(4)
    )
    promotions, _promotions = open_memory_channel(INBOX)
    acknowledgements, registered = open_memory_channel(INBOX)
    context.registered_by_instance[name] = registered
    peers, seen = open_memory_channel(INBOX)
    context.seen_by_instance[name] = seen
    unread = getattr(context, "unread", [])
    context.unread = [*unread, _router, _broker, _members, _feed, _promotions]
    directory = InstanceDirectory(
        name,
        entry,
        is_first_start,
        context.records,
        router,
        broker,
        members,
        feed,
        peers,
        promotions,
        acknowledgements,
    )

    async def run() -> None:
        with scope:
            await directory.run()

    context.thread.start(run)


@when("{seconds:d} s have passed")
def passed(context: Context, seconds: int) -> None:
    """Advance the clock."""
    context.thread.advance(seconds, step=1.0)


@when('"{name}" is lost and {seconds:d} s have passed')
def lost(context: Context, name: str, seconds: int) -> None:
    """End one instance after it has registered."""
    passed(context, 3)

    async def cancel() -> None:
        context.scope_by_instance[name].cancel()

    context.thread.call(cancel)
    passed(context, seconds)


@when('"{name}" is started again')
def started_again(context: Context, name: str) -> None:
    """Start it at its address; no time passes."""
    entry = InstanceEntry("10.0.0.1:7", "z1")
    _start(context, name, entry, is_first_start=False)
    context.thread.advance(0.01)


@then('"{name}" knows "{names}"')
def knows(context: Context, name: str, names: str) -> None:
    """Compare the newest list of an instance."""
    seen = None
    while context.seen_by_instance[name].statistics().current_buffer_used:
        seen = context.seen_by_instance[name].receive_nowait()
    assert isinstance(seen, PeersSeen)
    assert ",".join(sorted(seen.entry_by_instance)) == names, seen


@then(
    '"{name}" has reported {count:d} registrations, each sent before it was '
    "acknowledged"
)
def reported(context: Context, name: str, count: int) -> None:
    """Compare the reports to the acknowledgement task."""
    reports = context.registered_by_instance[name]
    found = [
        reports.receive_nowait()
        for _ in range(reports.statistics().current_buffer_used)
    ]
    assert len(found) == count, found
    assert all(report.at < report.acknowledged_at for report in found), found


@then('the store has the entries of "{names}"')
def has_entries(context: Context, names: str) -> None:
    """Compare the names of the records."""
    stored = context.records.record_by_name
    found = sorted(name.removeprefix(INSTANCE_PREFIX) for name in stored)
    assert ",".join(found) == names, found


@given('a record "{name}" that was written twice')
def written_twice(context: Context, name: str) -> None:
    """Serve a store and write a record through the adapter."""
    context.thread = TrioThread(real_time=True)
    context.add_cleanup(context.thread.stop)
    context.store, context.name = TableStore(lambda service, member: 404), name
    ready = Event()

    async def run() -> None:
        listeners = await open_tcp_listeners(0, host="127.0.0.1")
        host, port = listeners[0].socket.getsockname()[:2]
        calls, inbox = open_memory_channel[RecordRequest](10)
        context.client = RecordClient(calls)
        async with open_nursery() as tasks:
            server = HttpServer(listeners[0], context.store.handle, Event())
            tasks.start_soon(server.run)
            tasks.start_soon(RecordStore(f"{host}:{port}", "test", True, inbox).run)
            ready.set()

    context.thread.start(run)
    context.thread.call(ready.wait)
    context.versions = [
        context.thread.call(context.client.put, name, value).version
        for value in (b"1", b"2")
    ]


@when("it is removed under the {which} version")
def removed(context: Context, which: str) -> None:
    """Remove the record."""
    version = context.versions[0 if which == "first" else 1]
    context.thread.call(context.client.remove, context.name, version)


@then("the store has {count:d} records")
def record_count(context: Context, count: int) -> None:
    """Count the rows, also as the adapter lists them."""
    assert len([key for key in context.store.rows if key[0] == TABLE]) == count
    assert len(context.thread.call(context.client.list, "")) == count
