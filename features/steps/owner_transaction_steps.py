"""Steps for interactive transactions."""

from behave import then, when
from behave.runner import Context
from features.fakes.owner_script import play
from features.fakes.owner_world import A, OwnerWorld, snapshot
from trio import sleep

from jackdawspread.messages.execution_status import ExecutionStatus
from jackdawspread.messages.request_kind import RequestKind

READ, BEGIN = RequestKind.READ, RequestKind.BEGIN
EXECUTE, COMMIT = RequestKind.EXECUTE, RequestKind.COMMIT


@when("two workspaces run transactions in turns and one uses the other's id")
def two_transactions(context: Context) -> None:
    """Interleave the statements; the last one uses the other workspace's id."""

    async def script(world: OwnerWorld) -> None:
        await world.add_owner()
        first = (await world.submit_and_wait("b1", BEGIN)).ok.transaction_id
        second = (
            await world.submit_and_wait("b2", BEGIN, workspace="w2")
        ).ok.transaction_id
        assert first != second and first.startswith("i0.swap.")
        for turn in range(5):
            world.submit(f"first-{turn}", EXECUTE, transaction_id=first)
            other = {"workspace": "w2", "transaction_id": second}
            await world.submit_and_wait(f"second-{turn}", EXECUTE, **other)
            await sleep(0.1)
        await world.submit_and_wait("write", EXECUTE, transaction_id=second)

    play(context, script)


@then("each transaction ran on its own connection")
def own_connection(context: Context) -> None:
    """Check the connections by the names of the statements."""
    used: dict[str, set[int]] = {}
    for _, connection, label in context.world.ran("execute"):
        used.setdefault(label.split("-")[0], set()).add(connection)
    assert {name: len(ids) for name, ids in used.items()} == {"first": 1, "second": 1}
    assert not used["first"] & used["second"]


@when(
    "the key of a transaction {change} and its {statement} comes from {workspace}",
)
def key_lost(context: Context, change: str, statement: str, workspace: str) -> None:
    """Change the configuration between two statements of a transaction."""
    keys = dict(snapshot().configuration["key_by_id"])
    del keys["key-w1"]
    if change == "passes on":
        keys["key-w1"] = {"workspace": "w2", "withdrawn": False}

    async def script(world: OwnerWorld) -> None:
        await world.add_owner()
        id = (await world.submit_and_wait("begin", BEGIN)).ok.transaction_id
        await world.submit_and_wait("kept", EXECUTE, transaction_id=id)
        world.inboxes[0].send_nowait(snapshot(key_by_id=keys))
        fields = {"transaction_id": id, "workspace": workspace}
        await world.submit_and_wait("late", RequestKind(statement), **fields)
        world.inboxes[0].send_nowait(snapshot())
        await sleep(11)
        await world.submit_and_wait("after", EXECUTE, transaction_id=id)

    play(context, script)


@then("the statement is refused with {code} and has not reached a member")
def late_refused(context: Context, code: str) -> None:
    """Compare the reply with the calls that the members received."""
    refusal = context.world.replies["late"][0].error
    assert (refusal.code, refusal.ran) == (code, ExecutionStatus.NOT_RUN), refusal
    labels = {label for _, _, label in context.world.ran("execute", "commit")}
    assert labels == {"kept"}, labels


@then("the transaction is rolled back once it is idle for too long")
def rolled_back_idle(context: Context) -> None:
    """With the key valid again its next statement finds no transaction."""
    refusal = context.world.replies["after"][0].error
    assert refusal.code == "unknown_transaction", refusal


@when("a transaction is left idle for 11 s")
def left_idle(context: Context) -> None:
    """Begin a transaction, wait, and send its next statement."""

    async def script(world: OwnerWorld) -> None:
        await world.add_owner()
        id = (await world.submit_and_wait("begin", BEGIN)).ok.transaction_id
        await sleep(11)
        await world.submit_and_wait("write", EXECUTE, transaction_id=id)

    play(context, script)


@when("the answer to a commit is lost")
def lost_commit(context: Context) -> None:
    """Lose the answer to the commit, but not the commit."""

    async def script(world: OwnerWorld) -> None:
        await world.add_owner()
        id = (await world.submit_and_wait("begin", BEGIN)).ok.transaction_id
        world.members[A].lost_answers.append("/commit")
        await world.submit_and_wait("commit", COMMIT, transaction_id=id)

    play(context, script)
