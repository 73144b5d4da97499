"""Steps for the policies that experiments compare."""

from behave import given, then, when
from behave.runner import Context
from features.fakes.owner_script import current_primary, fail_primary, play
from features.fakes.owner_world import OwnerWorld
from trio import sleep

from jackdawspread.decisions.owner.fair_queue_state import (
    FairQueueState,
    empty_fair_queue,
)
from jackdawspread.decisions.owner.queued_request import QueuedRequest
from jackdawspread.decisions.owner.request_queue import (
    enqueue,
    queue_heads,
    remove_head,
)
from jackdawspread.messages.owner_assignment import OwnerAssignment
from jackdawspread.messages.request_kind import RequestKind
from jackdawspread.messages.routed_request import RoutedRequest
from jackdawspread.settings.experiment_settings import ExperimentSettings


@given("owners are independent")
def independent(context: Context) -> None:
    """Let every instance schedule its own requests."""
    context.options = {"experiment": ExperimentSettings(pooling="independent")}


@when("writes reach an owner without a rank before and after a promotion")
def without_rank(context: Context) -> None:
    """Use an owner without a rank while the active owner replaces the primary."""

    async def script(world: OwnerWorld) -> None:
        await world.add_owner()
        await world.add_owner(is_active=False, settle=0)
        world.inboxes[1].send_nowait(OwnerAssignment("swap", 1, -1, False, 4))
        await sleep(0.5)
        await world.submit_and_wait("before", owner=1)
        fail_primary(world)
        await sleep(2)
        await world.submit_and_wait("after", owner=1)

    play(context, script)


@then("both writes are answered and only the active owner promoted")
def answered(context: Context) -> None:
    """Check the replies and the term."""
    for id in ("before", "after"):
        [reply] = context.world.replies[id]
        assert reply.is_ok(), (id, reply)
    assert current_primary(context.world).term % 4 == 0, current_primary(
        context.world
    ).term


def _add(state: FairQueueState, id: int, workspace: str, lane: str) -> FairQueueState:
    request = RoutedRequest(
        id=str(id),
        kind=RequestKind.READ if lane == "any" else RequestKind.WRITE,
        workspace=workspace,
        key_id="k",
        database="swap",
        statements=(),
        idempotency_key="",
        position=None,
        max_staleness=None,
        deadline=10.0,
        transaction_id="",
        page_rows=1,
        offset=0,
    )
    return enqueue(state, QueuedRequest(id, request, lane, 10.0), 1.0)


def _sent_before(state: FairQueueState, id: int) -> list[QueuedRequest]:
    sent = []
    while (first := queue_heads(state)[0]).id != id:
        sent.append(first)
        state = remove_head(state, first)
    return sent


@given("w1 has 50 writes queued while replicas serve its reads at once")
def burst_of_both(context: Context) -> None:
    """Queue writes, and send each read as soon as it is queued."""
    state = empty_fair_queue()
    for number in range(50):
        state = _add(state, 2 * number, "w1", "primary")
        state = _add(state, 2 * number + 1, "w1", "any")
        [read] = [item for item in queue_heads(state) if item.lane == "any"]
        state = remove_head(state, read)
    context.queue = state


@when("w2 queues a write")
def other_write(context: Context) -> None:
    """Queue one write of another workspace."""
    context.queue = _add(context.queue, 1000, "w2", "primary")


@when("w2 queues a read that only the primary can serve")
def other_read(context: Context) -> None:
    """Queue one read that takes its turn with the writes."""
    context.queue = _add(context.queue, 1000, "w2", "any")


@then("at most 1 write of w1 is sent before it")
def sent_early(context: Context) -> None:
    """Count the writes that are sent before the request."""
    sent = _sent_before(context.queue, 1000)
    assert len(sent) <= 1, len(sent)
