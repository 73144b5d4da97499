"""Steps for clients of the HTTP front end that do not behave."""

import sys
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from tempfile import TemporaryDirectory
from time import monotonic, sleep

from behave import given, then
from behave.runner import Context
from features.steps.hostile_client_steps import ATTEMPTS, lives_within_limits
from features.support.free_ports import free_ports
from features.support.logged_process import LoggedProcess

IP = "127.0.77.9"
PROGRAM = Path(sys.executable).parent / "jackdawspread"
# The stand-in for the kernel's limit; callers may use 200 of them.
DESCRIPTORS = 400
START_TIMEOUT_S = 30.0
SETTINGS = """[instance]
caller_address = {ip}:{callers}
admin_address = {ip}:{administration}
peer_address = {ip}:{peers}
failure_domain = z1
memory_mb = {memory_mb}
max_connections = {connections}
[platform]
address = {ip}:{platform}
[secrets]
session_secret = a-secret-of-the-test
operator_key_hash = {hash}
[database d]
members = {ip}:{platform}
slots = 2
connections = 4
"""


@given("an HTTP front end with {memory_mb:d} MB and {connections:d} connections")
def front_end(context: Context, memory_mb: int, connections: int) -> None:
    """Start it without a platform, as bad input is handled before any routing."""
    context.memory_mb, context.descriptors = memory_mb, DESCRIPTORS
    names = ("callers", "administration", "peers", "platform")
    context.port_by_name = dict(zip(names, free_ports(IP, len(names)), strict=True))
    context.ip = IP
    folder = TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    path = Path(folder.name) / "instance.ini"
    path.write_text(
        SETTINGS.format(
            ip=IP,
            memory_mb=memory_mb,
            connections=connections,
            hash="0" * 64,
            **context.port_by_name,
        )
    )
    context.process = LoggedProcess(
        (PROGRAM, "proxy", path), path.with_suffix(".log"), DESCRIPTORS
    )
    context.add_cleanup(context.process.end)
    deadline = monotonic() + START_TIMEOUT_S
    while not _is_answered(context):
        assert context.process.is_running, context.process.log[-2000:]
        assert monotonic() < deadline, context.process.log[-2000:]
        sleep(0.1)


def _is_answered(context: Context) -> bool:
    connection = HTTPConnection(IP, context.port_by_name["callers"], timeout=10)
    try:
        connection.request("GET", "/healthz")
        return connection.getresponse().status == 200
    except (OSError, HTTPException):
        return False
    finally:
        connection.close()


@then("the front end answers an ordinary request")
def ordinary_request(context: Context) -> None:
    """The crowd still holds its connections."""
    assert any(_is_answered(context) for _ in range(ATTEMPTS)), "not answered"
    lives_within_limits(context)
