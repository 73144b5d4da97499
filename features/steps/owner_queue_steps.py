"""Steps for queueing and checks before sending."""

from behave import given, then, when
from behave.runner import Context
from features.fakes.owner_script import play
from features.fakes.owner_world import A, OwnerWorld, snapshot
from trio import open_nursery, sleep

from jackdawspread.messages.execution_status import ExecutionStatus
from jackdawspread.messages.request_kind import RequestKind
from jackdawspread.settings.experiment_settings import ExperimentSettings

READ, BEGIN = RequestKind.READ, RequestKind.BEGIN


@given("the queueing discipline is {name}")
def discipline(context: Context, name: str) -> None:
    """Set the queueing discipline."""
    context.options = {"experiment": ExperimentSettings(queueing=name)}


@when("w1 keeps 40 reads queued while w2 sends one read after another")
def burst(context: Context) -> None:
    """Run both workspaces for 2 s and count the answers."""

    async def script(world: OwnerWorld) -> None:
        await world.add_owner()
        world.members[A].service = 0.01

        async def keep_reading(workspace: str, number: int) -> None:
            for turn in range(1000):
                id = f"{workspace}-{number}-{turn}"
                await world.submit_and_wait(id, READ, workspace=workspace)

        async with open_nursery() as nursery:
            for number in range(40):
                nursery.start_soon(keep_reading, "w1", number)
            for number in range(4):
                nursery.start_soon(keep_reading, "w2", number)
            await sleep(2)
            nursery.cancel_scope.cancel()
        served = [id for id, replies in world.replies.items() if replies[0].is_ok()]
        context.share = sum(id.startswith("w2") for id in served) / len(served)

    play(context, script)


@then("w2 gets at least 45% of the service")
def fair_share(context: Context) -> None:
    """Check the share under fair queueing."""
    assert context.share >= 0.45, context.share


@then("w2 gets less than 20% of the service")
def unfair_share(context: Context) -> None:
    """Check the share of the baseline, which shows that the load is high enough."""
    assert context.share < 0.2, context.share


@when("w1 with weight 3 and w2 with weight 1 have 40 reads queued each")
def weighted(context: Context) -> None:
    """Queue the reads of both workspaces at once."""

    async def script(world: OwnerWorld) -> None:
        await world.add_owner()
        heavy = {"w1": {"overrides": {"weight": 3.0}, "databases": []}}
        world.inboxes[0].send_nowait(snapshot(workspace_by_name=heavy))
        for number in range(40):
            world.submit(f"w1-{number}", READ)
            world.submit(f"w2-{number}", READ, workspace="w2")
        await sleep(2)

    play(context, script)


@then("w1 is served 15 of the first 20 reads")
def weighted_share(context: Context) -> None:
    """Count in the order of sending, after the two reads that found free slots."""
    sent = [label for _, _, label in context.world.ran("read")][2:22]
    assert sum(label.startswith("w1") for label in sent) == 15, sent


@when("the key of w1 is withdrawn while its requests are queued")
def withdraw(context: Context) -> None:
    """Withdraw the key with two requests in flight and eight queued."""

    async def script(world: OwnerWorld) -> None:
        await world.add_owner()
        for number in range(10):
            world.submit(f"read-{number}", READ)
        world.inboxes[0].send_nowait(snapshot(withdrawn=("key-w1",)))
        await sleep(1)

    play(context, script)


@then("its queued requests are refused with unauthorized and never sent")
def never_sent(context: Context) -> None:
    """Compare the replies with the calls that the members received."""
    world = context.world
    sent = {label for _, _, label in world.ran("read")}
    refused = {n for n, [reply] in world.replies.items() if reply.is_error()}
    assert len(sent) == 2 and len(refused) == 8 and not sent & refused
    replies = [world.replies[name][0].error for name in refused]
    assert {(r.code, r.ran) for r in replies} == {
        ("unauthorized", ExecutionStatus.NOT_RUN)
    }


@when("50 requests are queued at once")
def many(context: Context) -> None:
    """Send more requests than the members can run at once."""

    async def script(world: OwnerWorld) -> None:
        await world.add_owner()
        for number in range(50):
            kind = (READ, RequestKind.WRITE)[number % 2]
            world.submit(f"many-{number}", kind, max_staleness=2.0)
        await sleep(2)
        assert all(replies[0].is_ok() for replies in world.replies.values())

    play(context, script)


@then("at most 2 statements and 10 connections were in use at each member")
def within_limits(context: Context) -> None:
    """Check the peaks at the members."""
    for member in context.world.members.values():
        assert member.peak_statements <= 2, member.peak_statements
        assert member.peak_connections <= 10, member.peak_connections
