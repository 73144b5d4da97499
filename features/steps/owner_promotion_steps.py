"""Steps for promotions."""

from behave import given, then, when
from behave.runner import Context
from features.fakes.owner_script import fail_primary, in_force, play, records
from features.fakes.owner_world import A, B, C, OwnerWorld
from trio import sleep


@given("the random seed is {seed:d}")
def set_seed(context: Context, seed: int) -> None:
    """Fix the jitter."""
    context.seed = seed


@when("the primary is cut off after it took a write that no replica holds")
def late_write(context: Context) -> None:
    """Lose the answer and the log entry."""

    async def script(world: OwnerWorld) -> None:
        await world.add_owner()
        primary = world.members[A]
        primary.is_isolated = True
        primary.lost_answers.append("/write")
        world.submit("claim")
        await sleep(0.02)
        fail_primary(world)
        await sleep(3)
        assert records(primary) == ["claim"]
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
    """Check the only reply."""
    [reply] = context.world.replies["claim"]
    assert reply.is_ok() and reply.ok.served_by == in_force(context.world).address
    assert reply.ok.served_by != A


@then("the new primary's log holds the write once")
def held_once(context: Context) -> None:
    """Check the log in force."""
    assert records(in_force(context.world)).count("claim") == 1


async def write_through_failure(world: OwnerWorld, owners: int) -> None:
    """Send writes for 4 s around the failure of the primary."""
    for number in range(40):
        if number == 5:
            fail_primary(world)
        world.submit(f"claim-{number}", owner=number % owners)
        await sleep(0.1)
    await sleep(6)


@when("both seats lose the primary at the same moment")
def two_seats(context: Context) -> None:
    """Let both seats believe that they are the active one."""

    async def script(world: OwnerWorld) -> None:
        await world.add_owner(settle=0)
        await world.add_owner()
        # The member that lacks acknowledged writes must not be chosen.
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


@then("one primary is in force and every acknowledged write is in its log")
def no_write_lost(context: Context) -> None:
    """Compare the replies with the log in force."""
    world = context.world
    held = records(in_force(world))
    assert len(held) == len(set(held))
    assert len(world.replies) == 40
    assert all(len(replies) == 1 for replies in world.replies.values())
    acknowledged = [id for id, replies in world.replies.items() if replies[0].is_ok()]
    assert set(acknowledged) <= set(held)
    assert len(acknowledged) >= 30, len(acknowledged)
    assert in_force(world).address != A


@when("the primary is cut off for a promotion and returns")
def returns(context: Context) -> None:
    """Cut the primary off for 3 s."""

    async def script(world: OwnerWorld) -> None:
        await world.add_owner()
        fail_primary(world)
        await sleep(3)
        world.members[A].is_cut = world.members[A].is_isolated = False
        await sleep(1)

    play(context, script)


@then("it follows the new primary")
def follows(context: Context) -> None:
    """Check the old primary."""
    old, new = context.world.members[A], in_force(context.world)
    assert (old.role, old.upstream, old.term) == ("replica", new.address, new.term)


@when("a replica promised a newer term and the seat is {activity}")
def promised(context: Context, activity: str) -> None:
    """Leave a promise of a seat that did not go on."""

    async def script(world: OwnerWorld) -> None:
        await world.add_owner(is_active=activity == "active")
        world.members[B].promised = 1029
        await sleep(3)

    play(context, script)


@then("the term in force is {term}")
def term_is(context: Context, term: str) -> None:
    """Compare the term with the promise."""
    found = in_force(context.world).term
    assert found > 1029 if term == "a higher" else found == 1024, found
