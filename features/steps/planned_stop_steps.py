"""Steps for callers of an instance that stops."""

from behave import then, when
from behave.runner import Context
from features.wire.wire_caller import WireCaller
from trio import BrokenResourceError, current_time, open_nursery, sleep

CALLERS = 6
# Between two statements of a transaction.
PAUSE_S = 0.05
GRACE_S = 6.0
STATEMENTS = ("BEGIN", "WRITE late 1", "READ late", "COMMIT")
DATABASE, KEY = "primary-db", "key-of-w1"


@when("it begins to stop while callers keep opening sessions for one transaction each")
def transactions_while_stopping(context: Context) -> None:
    """Run short transactions until the instance accepts no connection any more."""
    context.transactions = []
    context.platform.stop()
    context.platform.call(_run_callers, context)


async def _run_callers(context: Context) -> None:
    until = current_time() + GRACE_S
    async with open_nursery() as nursery:
        for number in range(CALLERS):
            nursery.start_soon(_run_transactions, context, number, until)


async def _run_transactions(context: Context, number: int, until: float) -> None:
    await sleep(number * PAUSE_S / CALLERS)
    while current_time() < until:
        try:
            context.transactions.append(await _run_transaction(context.platform))
        except (OSError, BrokenResourceError):
            # The instance has exited before START was answered.
            return
        await sleep(PAUSE_S)


async def _run_transaction(platform) -> list[str]:
    """Return the first line of the answer to START and to each statement."""
    caller = await WireCaller.open(platform.address, DATABASE, KEY)
    lines = [caller.opened]
    for text in STATEMENTS:
        if not lines[-1].startswith(("READY", "DONE", "ROW")):
            break
        try:
            lines.append((await caller.query(text))[0])
        except BrokenResourceError:
            lines.append("")
        await sleep(PAUSE_S)
    return lines


@then("every transaction was answered to its end or refused before it began")
def none_cut_off(context: Context) -> None:
    """Only START and BEGIN are refused, and no answer is missing after BEGIN."""
    begun = [lines for lines in context.transactions if len(lines) > 2]
    cut_off = [lines for lines in begun if not lines[-1].startswith("DONE")]
    assert not cut_off, cut_off
    assert all(len(lines) == 1 + len(STATEMENTS) for lines in begun), begun
    refused = [lines[-1] for lines in context.transactions if len(lines) <= 2]
    assert all(line.startswith("ERR BUSY") or not line for line in refused), refused


@then("transactions that began after the stop were committed")
def some_committed(context: Context) -> None:
    """An instance serves while the load balancer still sends it callers."""
    committed = [t for t in context.transactions if len(t) == 1 + len(STATEMENTS)]
    assert len(committed) >= CALLERS, context.transactions


@when("a caller writes in a transaction and waits until the stop refuses statements")
def outlast_stop(context: Context) -> None:
    """Send statements until about four fifths of the grace time have passed."""
    caller = context.platform.open()
    for text in ("BEGIN", "WRITE outlast 1"):
        assert context.platform.query(caller, text)[0].startswith("DONE")
    context.platform.stop()
    for _ in range(2):
        context.platform.call(sleep, 0.26 * GRACE_S)
        context.answer = context.platform.query(caller, "READ outlast")
    assert context.answer[0].startswith("ROW"), context.answer
    context.platform.call(sleep, 0.26 * GRACE_S)
    context.answer = context.platform.query(caller, "WRITE outlast 2")


@then("its next statement is refused with ABORTED, and nothing is kept")
def told_aborted(context: Context) -> None:
    """The members have rolled the transaction back."""
    assert context.answer[0].startswith("ERR ABORTED"), context.answer
    assert context.answer[1] == "READY E -", context.answer
    items = context.platform.group.item_by_name
    assert "outlast" not in items, items


@when("it begins to stop while a caller's commit waits for a silent member")
def overtaken_commit(context: Context) -> None:
    """Commit on a route that allows more time than the stop has left."""
    for route in context.platform.configuration["Routes"]:
        route["TimeoutMs"] = 1000 * 3 * GRACE_S
    context.platform.publish()
    caller = context.platform.open()
    for text in ("BEGIN", "WRITE silent 1"):
        assert context.platform.query(caller, text)[0].startswith("DONE")
    context.platform.group.is_silent = True
    context.platform.stop()
    context.answer = context.platform.query(caller, "COMMIT")


@then("the commit is answered with INDOUBT")
def answered_in_doubt(context: Context) -> None:
    """The answer comes before the process ends."""
    assert context.answer[0].startswith("ERR INDOUBT"), context.answer
