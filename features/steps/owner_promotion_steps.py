"""Steps for promotions."""

from behave import given, then, when
from behave.runner import Context
from features.fakes.owner_script import current_primary, fail_primary, play, records
from features.fakes.owner_world import A, B, C, OwnerWorld
from trio import sleep


@given("the random seed is {seed:d}")
def set_seed(context: Context, seed: int) -> None:
    """Set the seed of the jitter."""
    context.seed = seed


@when("the primary is partitioned after it applied a write that no replica has")
def late_write(context: Context) -> None:
    """Lose the answer to a write and its log entry."""

    async def script(world: OwnerWorld) -> None:
        await world.add_owner()
        primary = world.members[A]
        primary.is_isolated = True
        primary.lost_answers.append("/write")
        world.submit("write")
        await sleep(0.02)
        fail_primary(world)
        await sleep(3)
        assert records(primary) == ["write"]
        for reply_to, answer in primary.late_answers:
            reply_to.send_nowait(answer)
        await sleep(1)

    play(context, script)


@when("its answer arrives after the promotion")
def late_answer(context: Context) -> None:
    """Check that the script delivered the late answer."""
    assert context.world.members[A].late_answers


@then("the write is answered once, from the new primary")
def answered_by_new(context: Context) -> None:
    """Check that there is one reply, from the new primary."""
    [reply] = context.world.replies["write"]
    assert (
        reply.is_ok() and reply.ok.served_by == current_primary(context.world).address
    )
    assert reply.ok.served_by != A


@then("the new primary's log contains the write once")
def contained_once(context: Context) -> None:
    """Check the log of the current primary."""
    assert records(current_primary(context.world)).count("write") == 1


async def write_through_failure(world: OwnerWorld, owners: int) -> None:
    """Send writes for 4 s around the failure of the primary."""
    for number in range(40):
        if number == 5:
            fail_primary(world)
        world.submit(f"write-{number}", owner=number % owners)
        await sleep(0.1)
    await sleep(6)


@when("both owners lose contact with the primary at the same moment")
def two_owners(context: Context) -> None:
    """Make both owners active."""

    async def script(world: OwnerWorld) -> None:
        await world.add_owner(settle=0)
        await world.add_owner()
        # The member that lacks acknowledged writes must not become the primary.
        world.members[C].lag = 0.25
        await write_through_failure(world, 2)

    play(context, script)


@when("the primary fails and the answer to {step} is lost")
def lost_step(context: Context, step: str) -> None:
    """Lose one answer of each replica."""

    async def script(world: OwnerWorld) -> None:
        await world.add_owner()
        for address in (B, C):
            world.members[address].lost_answers.append(step)
        await write_through_failure(world, 1)

    play(context, script)


@then("there is one current primary and every acknowledged write is in its log")
def no_write_lost(context: Context) -> None:
    """Compare the replies with the log of the current primary."""
    world = context.world
    ids = records(current_primary(world))
    assert len(ids) == len(set(ids))
    assert len(world.replies) == 40
    assert all(len(replies) == 1 for replies in world.replies.values())
    acknowledged = [id for id, replies in world.replies.items() if replies[0].is_ok()]
    assert set(acknowledged) <= set(ids)
    assert len(acknowledged) >= 30, len(acknowledged)
    assert current_primary(world).address != A


@when("the primary is partitioned during a promotion and returns")
def returns(context: Context) -> None:
    """Partition the primary for 3 s."""

    async def script(world: OwnerWorld) -> None:
        await world.add_owner()
        fail_primary(world)
        await sleep(3)
        world.members[A].is_unreachable = world.members[A].is_isolated = False
        await sleep(1)

    play(context, script)


@then("it follows the new primary")
def follows(context: Context) -> None:
    """Check the role and the upstream of the old primary."""
    old, new = context.world.members[A], current_primary(context.world)
    assert (old.role, old.upstream, old.term) == ("replica", new.address, new.term)


@when("a replica promised a newer term and the owner is {activity}")
def promised(context: Context, activity: str) -> None:
    """Leave a promise to an owner that abandoned its promotion."""

    async def script(world: OwnerWorld) -> None:
        await world.add_owner(is_active=activity == "active")
        world.members[B].promised = 1029
        await sleep(3)

    play(context, script)


@then("the current term is {term}")
def term_is(context: Context, term: str) -> None:
    """Compare the term with the promise."""
    found = current_primary(context.world).term
    assert found > 1029 if term == "a higher" else found == 1024, found
