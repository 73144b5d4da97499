"""Steps for tasks that must not end the process."""

import subprocess
import sys
from pathlib import Path
from shutil import copy, copytree
from tempfile import TemporaryDirectory

from behave import given, then, when
from behave.runner import Context
from features.support.trio_thread import TrioThread
from trio import Event, open_memory_channel, open_nursery, open_tcp_listeners

from jackdawspread.messages.fleet.connection_opened import ConnectionOpened
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.platform.member_wire_codec import MemberWireCodec
from jackdawspread.tasks.members.member_connection import MemberConnection
from jackdawspread.tasks.run_isolated import run_isolated

ROOT = Path(__file__).resolve().parents[2]
LISTENER = "src/jackdawspread/tasks/sessions/session_listener.py"
UNSAFE = "sessions.start_soon(stream.aclose)"


class FailingMemberCodec(MemberWireCodec):
    """Fails while it encodes the handshake."""

    def encode_handshake(self, group: str, workspace: str, member: str) -> bytes:
        """Raise an error that no caller of the codec expects."""
        raise RuntimeError("a fault in the codec")


@given("a member connection whose codec fails with an unexpected error")
def failing_member(context: Context) -> None:
    """Prepare its thread."""
    context.thread = TrioThread(real_time=True)
    context.add_cleanup(context.thread.stop)


@when("it is opened")
def open_member(context: Context) -> None:
    """Run it as the pools do, and keep what it tells the router."""
    context.event = context.thread.call(_open_member)


async def _open_member() -> ConnectionOpened:
    (listener,) = await open_tcp_listeners(0, host="127.0.0.1")
    address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
    fields = {"id": "m", "group": "g", "address": address}
    listing = MemberListing(
        **{
            name: fields.get(name)
            for name in MemberListing._fields
            if name in fields or name not in MemberListing._field_defaults
        }
    )
    router, inbox = open_memory_channel(10)
    connection = MemberConnection(1, listing, "w", FailingMemberCodec, router)
    ended = Event()
    async with open_nursery() as nursery:

        async def run() -> None:
            await run_isolated("members", connection.run)
            ended.set()

        nursery.start_soon(run)
        await ended.wait()
    return inbox.receive_nowait()


@then("the router is told that it could not be opened")
def told(context: Context) -> None:
    """The event has no channel for exchanges."""
    assert isinstance(context.event, ConnectionOpened), context.event
    assert context.event.exchanges is None and context.event.error, context.event


@then("the task has ended without an exception")
def no_exception(context: Context) -> None:
    """The step before would have raised it."""


@given("the sources with a task of one connection that is not isolated")
def unsafe_sources(context: Context) -> None:
    """Copy the sources and change one line."""
    folder = TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.root = Path(folder.name)
    copytree(ROOT / "src", context.root / "src")
    (context.root / "scripts").mkdir()
    copy(ROOT / "scripts" / "check_isolation.py", context.root / "scripts")
    path = context.root / LISTENER
    text = path.read_text(encoding="utf-8")
    isolated = "sessions.start_soon(run_isolated, PART, stream.aclose)"
    assert isolated in text
    path.write_text(text.replace(isolated, UNSAFE), encoding="utf-8")


@when("the check of CI runs on them")
def run_check(context: Context) -> None:
    """Run it as CI does."""
    context.done = subprocess.run(
        [sys.executable, str(context.root / "scripts" / "check_isolation.py")],
        capture_output=True,
        text=True,
    )


@then("it names that task")
def names_task(context: Context) -> None:
    """Exactly one task is reported, and the status fails CI."""
    lines = context.done.stdout.splitlines()
    assert context.done.returncode == 1 and len(lines) == 2, lines
    assert "session_listener.py" in lines[0] and "stream.aclose" in lines[0], lines
