"""Steps for changes whose outcome is read back from the platform."""

from typing import Any

from behave import then, when
from behave.runner import Context

from jackdawspread.messages.admin_answer import AdminAnswer
from jackdawspread.messages.lost_race import LostRace
from jackdawspread.messages.platform_outcome import PlatformOutcome


def store_other_change(context: Context, write_id: str) -> None:
    """Store a change of another instance on top of the newest version."""
    platform = context.fleet.platform
    row = platform.rows["configuration"]
    value: dict[str, Any] = dict(row["value"])
    recent = [*value["recent_write_ids"], write_id][-32:]
    value |= {"version": value["version"] + 1, "write_id": write_id}
    value |= {"recent_write_ids": recent, "preset": "maintenance"}
    body = {"expect": {"configuration": row["version"]}, "put": {}}
    status, _ = platform.call(
        "/table/transact", body | {"put": {"configuration": value}}
    )
    assert status == 200


@when('the platform stores the change of "{name}" and {later:d} later changes')
def later_changes(context: Context, name: str, later: int) -> None:
    fleet = context.fleet
    version = fleet.platform.rows["configuration"]["version"]
    while fleet.platform.rows["configuration"]["version"] == version:
        fleet.run(0.001)
    for number in range(later):
        store_other_change(context, f"other-{number}")


@when('the write of "{name}" gets a conflict and the platform holds {row}')
def conflict(context: Context, name: str, row: str) -> None:
    fleet = context.fleet
    while not fleet.state_by_name[name].write_by_key:
        fleet.run(0.001)
    state = fleet.state_by_name[name]
    (write,) = state.write_by_key.values()
    call_id = next(id for id, c in state.call_by_id.items() if c.key == write.key)
    state = state._replace(
        write_by_key={write.key: write._replace(may_have_run=True)},
    )
    fleet.state_by_name[name] = state
    if row == "its own earlier copy":
        put = {write.key: write.value}
        expect = {write.key: write.expected_version}
        body = {"expect": expect, "put": put}
        assert fleet.platform.call("/table/transact", body)[0] == 200
    elif row == "another change":
        store_other_change(context, "other")
    rows = {write.key: fleet.platform.rows[write.key]}
    fleet.deliver(name, PlatformOutcome(call_id, 409, {"rows": rows}, True))


@then('the operator\'s outcome is "{expected}"')
def operator_outcome(context: Context, expected: str) -> None:
    outcome = context.fleet.result_by_id["select"].outcome
    if isinstance(outcome, AdminAnswer):
        found = "stored"
    elif isinstance(outcome, LostRace):
        found = "lost race"
    else:
        found = outcome.code
    assert found == expected, outcome
