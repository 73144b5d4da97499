"""Steps for answers of the store that name a row several times."""

import json
from base64 import b64encode
from time import monotonic, sleep

from behave import then, when
from behave.runner import Context
from features.support.log_lines import collect_log_lines
from features.wire.configuration_edits import lower_rate, remove_key, remove_route
from features.wire.platform_world import initial_configuration

from jackdawspread.messages.fleet.configuration_way import ConfigurationWay
from jackdawspread.messages.http_outcome import HttpOutcome
from jackdawspread.platform.configuration_answer import decode_answer
from jackdawspread.platform.ignored_rows import IgnoredRows

DATABASE = "primary-db"
# The instance calls the store again within this time.
ANSWER_TIMEOUT_S = 10.0
# An accepted configuration is in force within this time.
IN_FORCE_S = 3.0
LOG_PREFIX = "configuration: several versions"
CHANGES = {
    "its key withdrawn": remove_key,
    "its route removed": remove_route,
    "a lower rate of its workspace": lower_rate,
    "no change": lambda configuration, database: None,
}
FIRST_ROW_VERSION = 40


@when(
    "the store answers nobody while {count:d} versions are published, the last with "
    "{change}"
)
def published(context: Context, count: int, change: str) -> None:
    """Publish versions while the requests of the instance wait."""
    platform = context.platform
    context.caller = platform.open(DATABASE)

    async def set_silent(is_silent: bool) -> None:
        platform.store.set_silent(is_silent)

    with collect_log_lines() as lines:
        platform.call(set_silent, True)
        for _ in range(count - 1):
            platform.publish()
        CHANGES[change](platform.configuration, DATABASE)
        platform.publish()
        platform.call(set_silent, False)
        deadline = monotonic() + ANSWER_TIMEOUT_S
        while not any(LOG_PREFIX in line for line in lines):
            assert monotonic() < deadline, "no answer with several versions"
            sleep(0.02)
    context.log_line = next(line for line in lines if LOG_PREFIX in line)


@then('operations of the caller are refused with "{reason}"')
def refused(context: Context, reason: str) -> None:
    """Send operations until one is refused."""
    deadline = monotonic() + IN_FORCE_S
    while True:
        answer = context.platform.query(context.caller, "READ a")
        if reason in answer[0]:
            return
        assert monotonic() < deadline, answer


@then("a line of the log names the {count:d} versions and the chosen one")
def logged(context: Context, count: int) -> None:
    """Decode the fields of the line."""
    fields = dict(f.split("=") for f in context.log_line.split() if "=" in f)
    assert len(fields["row_versions"].split(",")) == count, context.log_line
    newest = context.platform.configuration["Version"]
    assert int(fields["chosen"]) == newest, context.log_line


def _row(key: str, value: bytes | None, version: int) -> dict[str, object]:
    name = {"Table": "op", "part": "", "Key": key, "Ver": version}
    if value is None:
        return {**name, "Tombstone": True}
    return {**name, "Value": b64encode(value).decode()}


def _decode(context: Context, rows: list[dict[str, object]]) -> None:
    body = {"rows": rows, "Ver": FIRST_ROW_VERSION + len(rows), "NowMs": 1000}
    outcome = HttpOutcome(1, 1, 200, body, True)
    context.seen = decode_answer(outcome, ConfigurationWay.FEED, 1, IgnoredRows())


@when("an answer has the configurations {versions}")
def configurations(context: Context, versions: str) -> None:
    """Decode an answer of the feed with one row for each."""
    value_of = {"unreadable": b"{", "removed": None}
    document = initial_configuration()
    rows = [
        _row(
            "config",
            value_of[version]
            if version in value_of
            else json.dumps({**document, "Version": int(version)}).encode(),
            FIRST_ROW_VERSION + number,
        )
        for number, version in enumerate(versions.split(", "))
    ]
    _decode(context, rows)


@then("the configuration is {used}, and the store {has} it still")
def configuration_is(context: Context, used: str, has: str) -> None:
    """Compare the version."""
    seen = context.seen
    version = str(seen.configuration.version) if seen.configuration else "none"
    assert version == used, version
    assert seen.is_absent == (has != "has"), seen


@when("an answer says that an evacuation was {changes}")
def evacuations(context: Context, changes: str) -> None:
    """Decode an answer of the feed with one row for each change."""
    value_of = {"requested": b"{}", "taken back": None}
    rows = [
        _row("evacuate/z1", value_of[change], FIRST_ROW_VERSION + number)
        for number, change in enumerate(changes.split(", "))
    ]
    _decode(context, rows)


@then("the failure domain {state} evacuated")
def evacuated(context: Context, state: str) -> None:
    """Look for the request."""
    version = context.seen.evacuation_version_by_domain["z1"]
    assert (version is not None) == (state == "is"), version
