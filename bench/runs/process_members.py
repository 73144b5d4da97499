"""Members of a database in a running fleet, seen past the proxy."""

from typing import Any

from bench.client.json_call import call_once
from bench.runs.process_world import ProcessWorld


async def member_status(world: ProcessWorld, member: str) -> dict[str, Any]:
    """Ask a member for its role."""
    members = world.fleet.layout.members_by_database[member.partition("-")[0]]
    status, body = await call_once(members[member], "POST", "/status", {}, timeout=1)
    return body if status == 200 else {}


async def wait_promoted(world: ProcessWorld, database: str, old: str) -> str:
    """Wait until another member is primary, and a write is acknowledged there."""

    async def promoted() -> str:
        name = await world.fleet.primary(database)
        return "" if name == old else name

    new = str(await world.eventually(promoted, f"{database} has a new primary"))
    await world.claim_until_served("entry-1", database)
    return new


async def wait_following(world: ProcessWorld, member: str) -> None:
    """Wait until a member is a replica."""

    async def follows() -> bool:
        return (await member_status(world, member)).get("role") == "replica"

    await world.eventually(follows, f"{member} follows the new primary")
