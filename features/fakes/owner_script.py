"""Runs scripts with database owners under a mock clock."""

from collections.abc import Awaitable, Callable
from typing import Any

from behave.runner import Context
from features.fakes.owner_world import A, OwnerWorld
from trio import open_nursery, run
from trio.testing import MockClock


def play(context: Context, script: Callable[[OwnerWorld], Awaitable[None]]) -> None:
    """Run a script in a new world under a mock clock, and store the world."""

    async def main() -> None:
        async with open_nursery() as nursery:
            seed = getattr(context, "seed", 1)
            options = getattr(context, "options", {})
            context.world = OwnerWorld(nursery, seed, **options)
            await script(context.world)
            nursery.cancel_scope.cancel()

    run(main, clock=MockClock(autojump_threshold=0))


def current_primary(world: OwnerWorld) -> Any:
    """Return the only primary whose term is not below the promises of a majority."""
    primaries = [
        member
        for member in world.members.values()
        if member.role == "primary"
        and sum(m.promised <= member.term for m in world.members.values()) >= 2
    ]
    assert len(primaries) == 1, [(m.role, m.term) for m in world.members.values()]
    return primaries[0]


def records(member: Any) -> list[str]:
    """Return the request ids in a member's log."""
    return [entry.record[1] for entry in member.entries if entry.record]


def fail_primary(world: OwnerWorld) -> None:
    """Partition the primary from the owners and the replicas."""
    world.members[A].is_unreachable = world.members[A].is_isolated = True
