"""Steps for the operators' commands."""

from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from tempfile import TemporaryDirectory

from behave import then, when
from behave.runner import Context
from features.fakes.control_instance import CREDENTIAL, ControlInstance
from features.support.log_lines import collect_log_lines
from msgspec import json
from trio import CancelScope, open_nursery, run, sleep, to_thread
from typer.testing import CliRunner, Result

from jackdawspread.commands.main import app

STARTUP_WAIT_S = 0.5
Invoke = Callable[[str], Awaitable[Result]]


def with_instance(
    script: Callable[[ControlInstance, Invoke], Awaitable[None]],
) -> ControlInstance:
    """Run a script against an instance that has stored its first configuration."""

    async def main() -> ControlInstance:
        instance = ControlInstance()
        async with open_nursery() as nursery:
            await instance.start(nursery)

            async def invoke(command: str) -> Result:
                env = {
                    "JACKDAWSPREAD_ADMIN": instance.admin_address,
                    "JACKDAWSPREAD_CREDENTIAL": CREDENTIAL,
                }
                call = partial(CliRunner().invoke, app, command.split(), env=env)
                return await to_thread.run_sync(call)

            while "database/swap1" not in instance.handler.platform.rows:
                await sleep(0.05)
            await sleep(STARTUP_WAIT_S)
            await script(instance, invoke)
            nursery.cancel_scope.cancel()
        return instance

    return run(main)


@when("an operator runs these commands against one instance")
def run_commands(context: Context) -> None:
    async def script(instance: ControlInstance, invoke: Invoke) -> None:
        for row in context.table:
            result = await invoke(row["command"])
            found = (result.exit_code, row["shows"] in result.output)
            assert found == (int(row["status"]), True), (row, result.output)

    with_instance(script)


@when("an operator issues a key and withdraws it")
def issue(context: Context) -> None:
    async def script(instance: ControlInstance, invoke: Invoke) -> None:
        await invoke("workspace create branch")
        issued = json.decode((await invoke("key issue branch --output json")).output)
        context.key = issued["key"]
        withdraw = f"key withdraw {issued['key_id']} --output json"
        context.withdrawn = json.decode((await invoke(withdraw)).output)

    with collect_log_lines() as context.lines:
        context.instance = with_instance(script)


@then("the key appears in no stored row and in no log line")
def key_is_secret(context: Context) -> None:
    stored = json.encode(context.instance.handler.platform.history).decode()
    assert len(context.key) >= 43 and context.key not in stored
    assert any("admin: " in line for line in context.lines), context.lines
    assert not any(context.key in line for line in context.lines)


@then("the withdrawal was in force on every instance")
def in_force(context: Context) -> None:
    body = context.withdrawn
    assert (body["state"], body["confirmed_by"]) == ("in_force", ["127.0.0.1:3"]), body


@when('an operator selects "{preset}" and the platform does not answer the write')
def lost_answer(context: Context, preset: str) -> None:
    async def script(instance: ControlInstance, invoke: Invoke) -> None:
        instance.handler.is_silent_for_writes = True
        context.result = await invoke(f"preset select {preset}")

    context.instance = with_instance(script)


@then("the command ends with status 0 and the platform stored the change once")
def stored_once(context: Context) -> None:
    assert context.result.exit_code == 0, context.result.output
    stored = context.instance.handler.platform.history["configuration"]
    assert [document["preset"] for document in stored] == ["ordinary", "peak"], stored


@when('an operator selects "{preset}" while the platform is down')
def platform_down(context: Context, preset: str) -> None:
    async def script(instance: ControlInstance, invoke: Invoke) -> None:
        instance.handler.platform.is_up = False
        status = await invoke("status show --output json")
        while json.decode(status.output)["is_platform_up"]:
            await sleep(0.1)
            status = await invoke("status show --output json")
        context.result = await invoke(f"preset select {preset}")

    with_instance(script)


@then('the command ends with status {status:d} and says "{text}"')
@then('the check ends with status {status:d} and says "{text}"')
def ends_with_status(context: Context, status: int, text: str) -> None:
    result = context.result
    assert (result.exit_code, text in result.output) == (status, True), result.output


@when("one instance runs for {seconds:g} s")
def instance_runs(context: Context, seconds: float) -> None:
    async def script(instance: ControlInstance, invoke: Invoke) -> None:
        await sleep(seconds)
        context.first_snapshot = instance.snapshot_inbox.receive_nowait()
        with CancelScope() as scope:
            context.snapshot = await instance.snapshot_inbox.receive()
        assert not scope.cancelled_caught
        context.assignments = []
        while instance.owner_inbox.statistics().current_buffer_used:
            context.assignments.append(instance.owner_inbox.receive_nowait())

    with_instance(script)


@then("the newest snapshot has authority and the owner has an active seat of {n:d}")
def has_newest_snapshot(context: Context, n: int) -> None:
    assert context.first_snapshot.configuration["version"] == 0, context.first_snapshot
    snapshot = context.snapshot
    assert snapshot.configuration["version"] == 1, snapshot
    assert snapshot.owner_addresses_by_database == {"swap1": ("127.0.0.1:3",)}
    assert context.assignments[-1] == ("swap1", 1, 0, True, n), context.assignments


@when('an operator checks settings with "{line}" in section {section}')
def check_settings(context: Context, line: str, section: str) -> None:
    text = f"""
[instance]
caller_address = 127.0.0.1:1
admin_address = 127.0.0.1:2
peer_address = 127.0.0.1:3
failure_domain = zone-1
[secrets]
session_secret = secret
operator_key_hash = {"0" * 64}
[platform]
address = 127.0.0.1:4
"""
    text += f"{line}\n" if section == "platform" else f"[{section}]\n{line}\n"
    with TemporaryDirectory() as directory:
        path = Path(directory) / "instance.ini"
        path.write_text(text, encoding="utf-8")
        context.result = CliRunner().invoke(app, ["settings", "check", str(path)])
