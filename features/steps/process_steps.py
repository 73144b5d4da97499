"""Steps that several features on processes share."""

from collections import Counter

from behave import given, then, when
from behave.runner import Context
from bench.runs.process_members import wait_promoted
from bench.runs.process_world import ENTRIES

RECENT = 20


@given("callers claim packets in {databases} through all instances")
def start_load(context: Context, databases: str) -> None:
    context.world.start_load(ENTRIES, tuple(databases.split(" and ")))
    context.world.loop.call(context.world.acknowledged_after, RECENT)


@when("the callers stop")
def stop_load(context: Context) -> None:
    context.world.loop.call(context.world.stop_load)


@then("another member of {database} becomes primary")
def promoted(context: Context, database: str) -> None:
    world, old = context.world, context.old_primary
    context.new_primary = world.loop.call(wait_promoted, world, database, old)


@then(
    "the members of {database} agree on one log that contains every acknowledged claim"
    " once"
)
def agree(context: Context, database: str) -> None:
    world = context.world
    logs = world.loop.call(world.agreed_logs, database)
    held = Counter(next(iter(logs.values())).committed_ids())
    acknowledged = [r for r in world.acknowledged() if r.request_id]
    assert acknowledged
    lost = [r for r in acknowledged if held[r.request_id] != 1]
    assert not lost, (len(lost), lost[:3])
    assert max(held.values()) == 1, held.most_common(3)


@then("no claim refused as not run is in any log of {databases}")
def not_run_is_true(context: Context, databases: str) -> None:
    world = context.world
    refused = {r.request_id for r in world.replies if r.ran == "not_run"}
    refused -= {r.request_id for r in world.replies if r.ran != "not_run"}
    for database in databases.split(" and "):
        for name, log in world.loop.call(world.logs, database).items():
            in_log = set(log.rows("committed")) | set(log.rows("executed"))
            wrong = refused & in_log
            assert not wrong, (name, len(wrong), sorted(wrong)[:3])
