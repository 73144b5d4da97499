"""Steps for the policies that experiments compare."""

from behave import given, then, when
from behave.runner import Context
from features.owner_play import fail_primary, in_force, play
from features.owner_world import OwnerWorld
from trio import sleep

from jackdawspread.messages.seat_assignment import SeatAssignment
from jackdawspread.settings.experiment_settings import ExperimentSettings


@given("owners are independent")
def independent(context: Context) -> None:
    """Let every owner schedule by itself."""
    context.options = {"experiment": ExperimentSettings(pooling="independent")}


@when("claims reach an owner without a seat before and after a promotion")
def seatless(context: Context) -> None:
    """Ask an owner of seat -1 while the active seat replaces the primary."""

    async def script(world: OwnerWorld) -> None:
        await world.add_owner()
        await world.add_owner(is_active=False, settle=0)
        world.inboxes[1].send_nowait(SeatAssignment("swap", 1, -1, False, 4))
        await sleep(0.5)
        await world.ask("before", owner=1)
        fail_primary(world)
        await sleep(2)
        await world.ask("after", owner=1)

    play(context, script)


@then("both claims are answered and only the seat promoted")
def answered(context: Context) -> None:
    """Check the replies and the term."""
    for id in ("before", "after"):
        [reply] = context.world.replies[id]
        assert reply.is_ok(), (id, reply)
    assert in_force(context.world).term % 4 == 0, in_force(context.world).term
