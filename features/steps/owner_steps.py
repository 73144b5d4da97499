"""Steps for the owner of a database."""

from collections.abc import Awaitable, Callable
from typing import Any

from behave import given, then, when
from behave.runner import Context
from features.owner_world import A, B, C, OwnerWorld, snapshot
from prometheus_client import REGISTRY
from trio import current_time, open_nursery, run, sleep
from trio.testing import MockClock

from jackdawspread.decisions.fifo_queue_state import empty_fifo_queue
from jackdawspread.messages.position import Position
from jackdawspread.messages.ran import Ran
from jackdawspread.messages.request_kind import RequestKind
from jackdawspread.messages.seat_assignment import SeatAssignment

READ, BEGIN = RequestKind.READ, RequestKind.BEGIN
EXECUTE, COMMIT = RequestKind.EXECUTE, RequestKind.COMMIT


def play(context: Context, script: Callable[[OwnerWorld], Awaitable[None]]) -> None:
    """Run a script in a new world under a mock clock and keep the world."""

    async def main() -> None:
        async with open_nursery() as nursery:
            seed = getattr(context, "seed", 1)
            options = getattr(context, "options", {})
            context.world = OwnerWorld(nursery, seed, **options)
            await script(context.world)
            nursery.cancel_scope.cancel()

    run(main, clock=MockClock(autojump_threshold=0))


def in_force(world: OwnerWorld) -> Any:
    """Return the only primary whose term a majority has promised at most."""
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
    """Cut the primary off from the owners and the replicas."""
    world.members[A].is_cut = world.members[A].is_isolated = True


@given("the queueing discipline is {name}")
def discipline(context: Context, name: str) -> None:
    """Choose the discipline."""
    context.options = {"queue": empty_fifo_queue()} if name == "fifo" else {}


@given("the random seed is {seed:d}")
def set_seed(context: Context, seed: int) -> None:
    """Fix the jitter."""
    context.seed = seed


@when("w1 keeps 40 reads queued while w2 sends one read after another")
def flood(context: Context) -> None:
    """Run both workspaces for 2 s and count the answers."""

    async def script(world: OwnerWorld) -> None:
        await world.add_owner()
        world.members[A].service = 0.01

        async def keep_asking(workspace: str, number: int) -> None:
            for turn in range(1000):
                id = f"{workspace}-{number}-{turn}"
                await world.ask(id, READ, workspace=workspace)

        async with open_nursery() as nursery:
            for number in range(40):
                nursery.start_soon(keep_asking, "w1", number)
            for number in range(4):
                nursery.start_soon(keep_asking, "w2", number)
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
    """Check the share of the baseline, which shows that the flood is one."""
    assert context.share < 0.2, context.share


@when("w1 with weight 3 and w2 with weight 1 have 40 reads queued each")
def weighted(context: Context) -> None:
    """Queue both at once."""

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
    """Count by order of sending, after the two that found free slots."""
    sent = [label for _, _, label in context.world.ran("read")][2:22]
    assert sum(label.startswith("w1") for label in sent) == 15, sent


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


@when("a read's answer is lost and arrives later")
def lost_read(context: Context) -> None:
    """Deliver the late answer after the read was answered."""

    async def script(world: OwnerWorld) -> None:
        await world.add_owner()
        world.members[A].lost_answers.append("/read")
        await world.ask("read", READ)
        [(reply_to, answer)] = world.members[A].late_answers
        reply_to.send_nowait(answer)
        await sleep(1)

    play(context, script)


@then("the read is answered once, over another connection")
def other_connection(context: Context) -> None:
    """Check that the silent connection was not used again."""
    world = context.world
    [reply] = world.replies["read"]
    assert reply.is_ok()
    (_, first, _), (_, second, _) = world.ran("read")
    assert first != second
    calls = [connection for _, connection, _ in world.members[A].ran]
    assert first not in calls[calls.index(second) :]


@when("10 reads lose their answers and one more read follows")
def ten_silent(context: Context) -> None:
    """Lose more connections than the limit holds."""

    async def script(world: OwnerWorld) -> None:
        await world.add_owner()
        for number in range(11):
            if number < 10:
                world.members[A].lost_answers.append("/read")
            await world.ask(f"read-{number}", READ)

    play(context, script)


@then("all 11 reads are answered")
def all_answered(context: Context) -> None:
    """Check the replies."""
    replies = context.world.replies.values()
    assert [reply.is_ok() for [reply] in replies] == [True] * 11


@when("the answer to a claim is lost {moment} a promotion")
def lost_claim(context: Context, moment: str) -> None:
    """Lose the answer at one of the members that is primary at the time."""

    async def script(world: OwnerWorld) -> None:
        await world.add_owner()
        if moment == "after":
            fail_primary(world)
            await sleep(3)
        primary = in_force(world) if moment == "after" else world.members[A]
        primary.lost_answers.append("/write")
        world.submit("claim")
        if moment == "during":
            await sleep(0.1)
            fail_primary(world)
        await sleep(6)
        if moment == "before":
            fail_primary(world)
            await sleep(3)

    play(context, script)


@then("the {name} is acknowledged once and the log holds it once")
def acknowledged_once(context: Context, name: str) -> None:
    """Check the reply and the log in force."""
    [reply] = context.world.replies[name]
    assert reply.is_ok(), reply
    assert records(in_force(context.world)).count(name) == 1


@when("both replicas stop receiving the log and a claim is sent")
def no_confirmation(context: Context) -> None:
    """Isolate the primary from the replicas only."""

    async def script(world: OwnerWorld) -> None:
        await world.add_owner()
        world.members[B].is_isolated = world.members[C].is_isolated = True
        await world.ask("claim")

    play(context, script)


@then("the claim is refused with {code} and ran {ran}")
def claim_refused(context: Context, code: str, ran: str) -> None:
    """Check the refusal."""
    [reply] = context.world.replies["claim"]
    assert (reply.error.code, reply.error.ran) == (code, ran), reply


@when("one replica is 20 s behind and 100 reads of at most 1 s age are sent")
def far_behind(context: Context) -> None:
    """Write all the time, so that the lag matters."""

    async def script(world: OwnerWorld) -> None:
        await world.add_owner()
        world.members[C].lag = 20
        for number in range(100):
            await world.ask(f"claim-{number}")
            await sleep(0.03)
        for number in range(100):
            await world.ask(f"read-{number}", READ, max_staleness=1.0)
            world.submit(f"more-{number}")
            await sleep(0.03)

    play(context, script)


@then("all of them are served by the other replica")
def served_by_other(context: Context) -> None:
    """Check who served the reads."""
    names = [f"read-{number}" for number in range(100)]
    served = {context.world.replies[name][0].ok.served_by for name in names}
    assert served == {B}, served


@when("a replica holds a longer log of an old term and a read carries a token")
def diverged(context: Context) -> None:
    """Promote another member while the old primary has a longer log."""

    async def script(world: OwnerWorld) -> None:
        await world.add_owner()
        fail_primary(world)
        await sleep(3)
        old = world.members[A]
        for _ in range(50):
            old.append(current_time())
        token = (await world.ask("claim")).ok.position
        old.role, old.is_cut = "replica", False
        old.swallowed = ["/follow"] * 100
        await sleep(0.5)
        for number in range(20):
            age = {"max_staleness": 5.0, "position": token}
            await world.ask(f"read-{number}", READ, **age)

    play(context, script)


@then("the read is not served from the diverged log")
def not_diverged(context: Context) -> None:
    """Check that every read was served, and none by the old primary."""
    world = context.world
    replies = [world.replies[f"read-{number}"][0] for number in range(20)]
    assert all(reply.is_ok() and reply.ok.served_by != A for reply in replies)
    assert len(world.members[A].entries) > len(in_force(world).entries)


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
    """Check the replies against the calls."""
    world = context.world
    sent = {label for _, _, label in world.ran("read")}
    refused = {n for n, [reply] in world.replies.items() if reply.is_error()}
    assert len(sent) == 2 and len(refused) == 8 and not sent & refused
    replies = [world.replies[name][0].error for name in refused]
    assert {(r.code, r.ran) for r in replies} == {("unauthorized", Ran.NOT_RUN)}


@when("a request meets {obstacle}")
def obstacle(context: Context, obstacle: str) -> None:
    """Put the obstacle in the way of a claim."""
    changes: dict[str, Any] = {
        "a full queue": {"preset": {"queue_limit": 0}},
        "a long queue": {"preset": {"queue_wait_ms": 100}},
        "a leaving database": {"leaving_databases": ["swap"]},
        "a read-only preset": {"preset": {"writes_allowed": False}},
    }.get(obstacle, {})

    async def script(world: OwnerWorld) -> None:
        await world.add_owner()
        world.inboxes[0].send_nowait(snapshot(**changes))
        if obstacle == "no seat":
            world.inboxes[0].send_nowait(SeatAssignment("swap", 2, -1, False, 0))
        if obstacle == "a long queue":
            world.members[A].service = 0.2
            world.submit("other-1", READ)
            world.submit("other-2", READ)
        if obstacle == "silent members":
            for member in world.members.values():
                member.swallowed = ["/write"] * 100
        await world.ask("claim")

    play(context, script)


@then("it is refused with {code} and ran {ran}")
def refused_with(context: Context, code: str, ran: str) -> None:
    """Check the refusal of the claim."""
    claim_refused(context, code, ran)


@then("a refusal that says not run means that no member received the request")
def not_run_is_true(context: Context) -> None:
    """Compare the refusal with the calls."""
    [reply] = context.world.replies["claim"]
    received = [label for _, _, label in context.world.ran("write")]
    assert reply.error.ran is not Ran.NOT_RUN or "claim" not in received


@when("two workspaces run transactions in turns and one tries the other's id")
def two_transactions(context: Context) -> None:
    """Interleave the statements; the last one is foreign."""

    async def script(world: OwnerWorld) -> None:
        await world.add_owner()
        first = (await world.ask("b1", BEGIN)).ok.transaction_id
        second = (await world.ask("b2", BEGIN, workspace="w2")).ok.transaction_id
        assert first != second and first.startswith("i0.swap.")
        for turn in range(5):
            world.submit(f"first-{turn}", EXECUTE, transaction_id=first)
            other = {"workspace": "w2", "transaction_id": second}
            await world.ask(f"second-{turn}", EXECUTE, **other)
            await sleep(0.1)
        await world.ask("claim", EXECUTE, transaction_id=second)

    play(context, script)


@then("each transaction ran on its own connection")
def own_connection(context: Context) -> None:
    """Check the connections by the names of the statements."""
    used: dict[str, set[int]] = {}
    for _, connection, label in context.world.ran("execute"):
        used.setdefault(label.split("-")[0], set()).add(connection)
    assert {name: len(ids) for name, ids in used.items()} == {"first": 1, "second": 1}
    assert not used["first"] & used["second"]


@then("the foreign statement is refused with {code} and ran {ran}")
@then("its next statement is refused with {code} and ran {ran}")
def statement_refused(context: Context, code: str, ran: str) -> None:
    """Check the refusal of the last statement."""
    claim_refused(context, code, ran)


@when("a transaction is left idle for 11 s")
def left_idle(context: Context) -> None:
    """Begin, wait, continue."""

    async def script(world: OwnerWorld) -> None:
        await world.add_owner()
        id = (await world.ask("begin", BEGIN)).ok.transaction_id
        await sleep(11)
        await world.ask("claim", EXECUTE, transaction_id=id)

    play(context, script)


@when("the answer to a commit is lost")
def lost_commit(context: Context) -> None:
    """Lose the answer, not the commit."""

    async def script(world: OwnerWorld) -> None:
        await world.add_owner()
        id = (await world.ask("begin", BEGIN)).ok.transaction_id
        world.members[A].lost_answers.append("/commit")
        await world.ask("commit", COMMIT, transaction_id=id)

    play(context, script)


@when("50 requests are queued at once")
def many(context: Context) -> None:
    """Send more than the members can take."""

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
    """Check the peaks that the members saw."""
    for member in context.world.members.values():
        assert member.peak_statements <= 2, member.peak_statements
        assert member.peak_connections <= 10, member.peak_connections


@when("a request is sent to a seat that is not active")
def passive(context: Context) -> None:
    """Ask an owner whose seat is not the first live one."""

    async def script(world: OwnerWorld) -> None:
        await world.add_owner(is_active=False, settle=3)
        probes = len(world.ran("status"))
        assert probes <= 3 * 5, probes
        await world.ask("claim")

    play(context, script)


@then("it is answered")
def answered(context: Context) -> None:
    """Check the reply."""
    [reply] = context.world.replies["claim"]
    assert reply.is_ok() and reply.ok.position > Position(1024, 1)


@given("the owner prepares at suspicion")
def prepares(context: Context) -> None:
    """Switch the preparation on."""
    context.options = {"prepare_at_suspicion": True}


def false_alarms() -> float:
    """Return the number of false alarms counted in this process."""
    name = "jackdawspread_owner_false_alarms_total"
    return REGISTRY.get_sample_value(name, {"database": "swap"}) or 0.0


@when("one probe of the primary is lost")
def one_probe(context: Context) -> None:
    """Swallow one probe."""

    async def script(world: OwnerWorld) -> None:
        await world.add_owner()
        context.alarms = false_alarms()
        world.members[A].swallowed.append("/status")
        await sleep(3)

    play(context, script)


@then("the primary stays and one false alarm is counted")
def stays(context: Context) -> None:
    """Check the term and the metric."""
    assert in_force(context.world).address == A
    assert false_alarms() - context.alarms == 1
    assert not context.world.ran("prepare")


@when("the primary refuses connections while a claim is sent")
def refuses(context: Context) -> None:
    """Refuse, although the replicas still hear the primary."""

    async def script(world: OwnerWorld) -> None:
        await world.add_owner()
        world.members[A].is_refusing = True
        context.failed_at = current_time()
        await world.ask("claim")

    play(context, script)


@when("the primary fails with a claim in flight")
def in_flight(context: Context) -> None:
    """Fail the primary before the claim arrives at it."""

    async def script(world: OwnerWorld) -> None:
        await world.add_owner()
        context.failed_at = current_time()
        fail_primary(world)
        await world.ask("claim", deadline=20)

    play(context, script)


@then("the claim is acknowledged within {seconds:g} s of the owner's clock")
def in_time(context: Context, seconds: float) -> None:
    """Check the reply and its time on the mock clock."""
    [reply] = context.world.replies["claim"]
    assert reply.is_ok() and reply.ok.served_by != A, reply
    taken = context.world.replied_at["claim"] - context.failed_at
    assert taken < seconds, taken


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


@when("a read of the primary shows an entry that no second member holds")
def unheld(context: Context) -> None:
    """Write to the primary alone, then read from it."""

    async def script(world: OwnerWorld) -> None:
        await world.add_owner()
        context.held = (await world.ask("first")).ok.position
        world.members[A].is_isolated = True
        world.submit("second")
        await sleep(0.05)
        await world.ask("read", READ)

    play(context, script)


@then("its answer carries only the position that a second member holds")
def only_held(context: Context) -> None:
    """Check the position of the answer."""
    world = context.world
    assert world.members[A].entries[-1].position > context.held
    assert world.replies["read"][0].ok.position == context.held
