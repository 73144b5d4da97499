"""Claims whose answers are lost, and their repeats."""

from trio import move_on_after, open_nursery, sleep

from bench.client.proxy_caller import ProxyCaller
from bench.client.typed_reply import TypedReply
from bench.runs.process_world import ProcessWorld

CLAIMS = 10
STEP_S = 0.002


async def claim_and_leave(caller: ProxyCaller, request_id: str, after: float) -> None:
    """Send a claim and close the connection without reading the answer."""
    with move_on_after(after):
        await caller.claim("swap1", request_id)
    await caller.connection.aclose()


async def lose_answers(world: ProcessWorld, entry: str, how: str) -> list[str]:
    """Send claims through an instance whose answers are lost."""
    ids = [world.new_id() for _ in range(CLAIMS)]
    async with open_nursery() as nursery:
        for number, request_id in enumerate(ids, 1):
            caller = world.caller(entry)
            nursery.start_soon(claim_and_leave, caller, request_id, number * STEP_S)
        if how == "the instance is killed":
            await sleep(CLAIMS / 2 * STEP_S)
            world.fleet.kill(entry)
    return ids


async def ask_and_repeat(world: ProcessWorld, entry: str, ids: list[str]) -> None:
    """Ask for each outcome, repeat each claim until served, and ask again."""

    async def repeat(request_id: str) -> None:
        caller = world.caller(entry)

        async def known() -> TypedReply | None:
            reply = await caller.outcome("swap1", request_id)
            return reply if reply.status == 200 else None

        async def served() -> bool:
            reply = await caller.claim("swap1", request_id)
            world.replies.append(reply)
            return reply.status == 200

        before = await world.eventually(known, f"the outcome of {request_id}")
        await world.eventually(served, f"{request_id} is served")
        if before.body.get("found", True):
            last = [r for r in world.replies if r.request_id == request_id][-1]
            assert last.body.get("replayed"), (before, last)
        after = await caller.outcome("swap1", request_id)
        assert after.status == 200 and after.body.get("found", True), after
        await caller.connection.aclose()

    async with open_nursery() as nursery:
        for request_id in ids:
            nursery.start_soon(repeat, request_id)
