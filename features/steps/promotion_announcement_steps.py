"""Steps for announcements of promotion states."""

from behave import given, then, when
from behave.runner import Context
from features.fakes.announced_instances import INBOX, AnnouncedInstances
from trio import current_time, open_memory_channel, open_nursery, run, sleep
from trio.testing import MockClock

from jackdawspread.messages.fleet.announce_promotion import AnnouncePromotion
from jackdawspread.messages.fleet.promotion_state import PromotionState

TOLERANCE_S = 0.001
STATE = PromotionState("g", 1, 7, 4, True)


@given('registered instances "{instances}" that lose the first announcements')
def given_instances(context: Context, instances: str) -> None:
    """Parse ``i2=3``: the first 3 announcements to i2 are lost."""
    pairs = (pair.split("=") for pair in instances.split(","))
    context.instances = AnnouncedInstances({id: float(lost) for id, lost in pairs})


@when("a state is announced and confirmations are awaited for {seconds:g} s")
def when_announced(context: Context, seconds: float) -> None:
    """Announce one state."""

    async def act() -> None:
        send, inbox = open_memory_channel(INBOX)
        reply_to, replies = open_memory_channel(1)
        async with open_nursery() as nursery:
            context.instances.start(nursery, inbox, send)
            started_at = current_time()
            addresses = context.instances.address_by_instance
            expires_at = started_at + seconds
            await send.send(AnnouncePromotion(STATE, addresses, expires_at, reply_to))
            context.missing = (await replies.receive()).missing
            context.elapsed_s = current_time() - started_at
            # Announcements that were repeated afterwards would be counted too.
            await sleep(1.0)
            nursery.cancel_scope.cancel()

    run(act, clock=MockClock(autojump_threshold=0))


@when("a state is announced and confirmations are not awaited")
def when_announced_once(context: Context) -> None:
    """Announce one state as at the end of an attempt."""

    async def act() -> None:
        send, inbox = open_memory_channel(INBOX)
        async with open_nursery() as nursery:
            context.instances.start(nursery, inbox, send)
            addresses = context.instances.address_by_instance
            await send.send(AnnouncePromotion(STATE, addresses, 0.0, None))
            await sleep(1.0)
            nursery.cancel_scope.cancel()

    run(act, clock=MockClock(autojump_threshold=0))


@then('"{missing}" are reported missing after {ms:d} ms')
def then_missing(context: Context, missing: str, ms: int) -> None:
    """Compare the reply and its time."""
    expected = set() if missing == "none" else set(missing.split(","))
    assert context.missing == expected, context.missing
    assert abs(context.elapsed_s - ms / 1000) < TOLERANCE_S, context.elapsed_s


@then('they have been sent "{datagrams}" announcements')
def then_sent(context: Context, datagrams: str) -> None:
    """Compare the numbers of announcements, and their content."""
    received = context.instances.received
    found = ",".join(f"{id}={len(states)}" for id, states in sorted(received.items()))
    assert found == datagrams, found
    assert {state for states in received.values() for _, state in states} == {STATE}


@then("none of these asks for a confirmation")
def then_unconfirmed(context: Context) -> None:
    """Compare the ids."""
    received = context.instances.received.values()
    assert {id for states in received for id, _ in states} == {0}
