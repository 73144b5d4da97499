"""Steps for the choice of the member for a read."""

from behave import then, when
from behave.runner import Context
from features.fakes.owner_script import current_primary, fail_primary, play
from features.fakes.owner_world import A, B, C, OwnerWorld
from trio import current_time, sleep

from jackdawspread.messages.request_kind import RequestKind

READ, BEGIN = RequestKind.READ, RequestKind.BEGIN


@when("one replica is 20 s behind and 100 reads of at most 1 s age are sent")
def far_behind(context: Context) -> None:
    """Write continuously, so that the lag matters."""

    async def script(world: OwnerWorld) -> None:
        await world.add_owner()
        world.members[C].lag = 20
        for number in range(100):
            await world.submit_and_wait(f"write-{number}")
            await sleep(0.03)
        for number in range(100):
            await world.submit_and_wait(f"read-{number}", READ, max_staleness=1.0)
            world.submit(f"more-{number}")
            await sleep(0.03)

    play(context, script)


@when("one replica applies 20 s late and 100 writes are each followed by a read")
def late_apply(context: Context) -> None:
    """Send each read with the position of the write before it."""

    async def script(world: OwnerWorld) -> None:
        await world.add_owner()
        # The owner chooses the first one of equal members.
        world.members[B].apply_lag = 20
        await world.submit_and_wait("first")
        await sleep(2)
        for number in range(100):
            token = (await world.submit_and_wait(f"write-{number}")).ok.position
            age = {"max_staleness": 1.0, "position": token}
            await world.submit_and_wait(f"read-{number}", READ, **age)
            await sleep(0.03)

    context.other_replica = C
    play(context, script)


@then("all of them are served by the other replica")
def served_by_other(context: Context) -> None:
    """Check which member served the reads."""
    names = [f"read-{number}" for number in range(100)]
    served = {context.world.replies[name][0].ok.served_by for name in names}
    assert served == {getattr(context, "other_replica", B)}, served


@when("a replica has a longer log of an old term and a read carries a token")
def diverged(context: Context) -> None:
    """Promote another member while the old primary has a longer log."""

    async def script(world: OwnerWorld) -> None:
        await world.add_owner()
        fail_primary(world)
        await sleep(3)
        old = world.members[A]
        for _ in range(50):
            old.append(current_time())
        token = (await world.submit_and_wait("write")).ok.position
        old.role, old.is_unreachable = "replica", False
        old.dropped_calls = ["/follow"] * 100
        await sleep(0.5)
        for number in range(20):
            age = {"max_staleness": 5.0, "position": token}
            await world.submit_and_wait(f"read-{number}", READ, **age)

    play(context, script)


@then("the read is not served from the diverged log")
def not_diverged(context: Context) -> None:
    """Check that every read was served, and none by the old primary."""
    world = context.world
    replies = [world.replies[f"read-{number}"][0] for number in range(20)]
    assert all(reply.is_ok() and reply.ok.served_by != A for reply in replies)
    assert len(world.members[A].entries) > len(current_primary(world).entries)


@when("a read of the primary shows an entry that no second member has")
def unconfirmed(context: Context) -> None:
    """Write to the primary alone, then read from it."""

    async def script(world: OwnerWorld) -> None:
        await world.add_owner()
        context.confirmed = (await world.submit_and_wait("first")).ok.position
        world.members[A].is_isolated = True
        world.submit("second")
        await sleep(0.05)
        await world.submit_and_wait("read", READ)

    play(context, script)


@then("its answer contains only the position that a second member has")
def only_confirmed(context: Context) -> None:
    """Check the position of the answer."""
    world = context.world
    assert world.members[A].entries[-1].position > context.confirmed
    assert world.replies["read"][0].ok.position == context.confirmed
