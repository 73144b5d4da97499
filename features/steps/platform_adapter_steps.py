"""Steps for decoding the users' platform's protocols, rows and settings."""

import json
import subprocess
import sys
from base64 import b64encode

from behave import then, when
from behave.runner import Context
from msgspec.msgpack import encode

from jackdawspread.codecs.peer_datagrams import decode_datagram
from jackdawspread.messages.statements.member_command import MemberCommand
from jackdawspread.messages.statements.read_item import ReadItem
from jackdawspread.platform.member_rows import decode_members
from jackdawspread.platform.member_wire_codec import MemberWireCodec
from jackdawspread.platform.settings_file import parse_platform_settings
from jackdawspread.platform.statement_texts import format_statement, parse_statement
from jackdawspread.platform.store_rows import StoreRow, decode_rows
from jackdawspread.settings.session_proxy_settings import SessionProxySettings

ENTRY = {
    "Service": "g",
    "Address": "10.0.0.1:80",
    "Zone": "z1",
    "State": "ready",
    "DbRole": "replica",
    "Slots": 2,
    "Seq": 4,
}
SETTINGS = """NodeName=n1
Ip=10.1.0.26
Zone=z1
ListenAddrs.Front=10.1.0.26:8465
ListenAddrs.Ready=10.1.0.26:8460
InternalPorts=7560,7575
platform.Address=10.200.1.7:8466
CloudApi.Address=10.200.0.2:8466
"""


@when('the text "{text}" is decoded and encoded again')
def round_trip(context: Context, text: str) -> None:
    """Decode and encode a text."""
    context.original, context.again = text, format_statement(parse_statement(text))


@then("it is unchanged")
def unchanged(context: Context) -> None:
    """Compare the texts."""
    assert context.again == context.original, context.again


@when('a member replies "{lines}"')
def member_replies(context: Context, lines: str) -> None:
    """Decode a reply that arrives byte by byte."""
    wire = MemberWireCodec()
    wire.encode_command(MemberCommand("c1", ReadItem("a")))
    context.reply = None
    try:
        for byte in (lines.replace("/", "\r\n") + "\r\n").encode():
            wire.receive(bytes([byte]))
            context.reply = context.reply or wire.next_reply()
        context.error = None
    except ValueError as error:
        context.error = error


@then("the reply is {result}")
def reply_is(context: Context, result: str) -> None:
    """Compare the decoded reply, or the error."""
    if result == "not read":
        assert context.error is not None
    elif result == "incomplete":
        assert context.error is None and context.reply is None
    elif result == "a success":
        assert context.reply.signature == "p" and not context.reply.error
    else:
        assert context.reply.error == result and not context.reply.signature


@when("the list has a valid entry and one whose {field} is {value}")
def bad_entry(context: Context, field: str, value: str) -> None:
    """Decode a list with two invalid entries and a valid one."""
    bad = {**ENTRY, field: json.loads(value)}
    rows = [
        StoreRow("bad", json.dumps(bad).encode(), 1, False),
        StoreRow("good", json.dumps(ENTRY).encode(), 2, False),
        StoreRow("bytes", b"\xff\xfe", 3, False),
    ]
    context.members = decode_members(rows, set())


@then("only the valid entry gives a member")
def only_good(context: Context) -> None:
    """Compare the ids of the members."""
    assert list(context.members) == ["good"], context.members


@when("the store answers with rows of wrong types and one valid row")
def bad_rows(context: Context) -> None:
    """Decode two answers."""
    good = {"Key": "k", "Value": b64encode(b"v").decode(), "Ver": 3}
    rows = [None, {"Key": 5}, {"Key": "a", "Value": "%%"}, {**good, "Ver": "x"}, good]
    context.rows = [*decode_rows({"rows": rows}), *decode_rows({"rows": "none"})]


@then("one row is decoded")
def one_row(context: Context) -> None:
    """Compare the row."""
    assert context.rows == [StoreRow("k", b"v", 3, False)], context.rows


@when('the settings have the line "{line}"')
def settings_line(context: Context, line: str) -> None:
    """Parse a settings file whose last line changes one setting."""
    context.checked = parse_platform_settings(SETTINGS + line + "\n", "node.conf")


@then('the check says "{answer}"')
def check_says(context: Context, answer: str) -> None:
    """Compare the error, if one is expected."""
    if answer == "accepted":
        assert isinstance(context.checked, SessionProxySettings), context.checked
        return
    assert isinstance(context.checked, list), context.checked
    assert answer in " ".join(str(error) for error in context.checked)


@when("a new process imports the main module of an instance")
def imports_program(context: Context) -> None:
    """List the modules that the main module imports."""
    code = "import sys, jackdawspread.platform.daemon; print(*sys.modules)"
    listed = subprocess.run([sys.executable, "-c", code], capture_output=True)
    context.modules = set(listed.stdout.decode().split())


@then("neither {first} nor {second} is loaded")
def not_loaded(context: Context, first: str, second: str) -> None:
    """Check that the modules were not imported."""
    assert "jackdawspread.platform.daemon" in context.modules
    assert not {first, second} & context.modules


@when("a datagram with {fields} is decoded")
def datagram(context: Context, fields: str) -> None:
    """Decode a datagram."""
    context.message = decode_datagram(encode(json.loads(fields)))


@then("it is {result}")
def datagram_is(context: Context, result: str) -> None:
    """Compare the type of the message."""
    names = {
        "TokenRequest": "a request",
        "TokenReply": "a reply",
        "ConfigurationConfirmed": "a confirmation",
        "MembersRelayed": "a list",
        "PrimaryDemotionRequest": "a demotion",
        "PrimaryDemotionReply": "a result",
    }
    assert names.get(type(context.message).__name__, "ignored") == result
