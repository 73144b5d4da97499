"""Steps for acknowledged positions that are reported through the store."""

from behave import given, then
from behave.runner import Context
from features.fakes.acknowledging_instance import GROUP, INSTANCE
from msgspec.json import encode
from trio import run

from jackdawspread.messages.fleet.acknowledged_positions import AcknowledgedPositions
from jackdawspread.messages.fleet.reported_positions import ReportedPositions
from jackdawspread.messages.position import Position
from jackdawspread.tasks.fleet.position_reports import read_reports


def _position(text: str) -> Position:
    return Position(*map(int, text.split(".")))


@given("the store refuses writes")
def given_refused_writes(context: Context) -> None:
    """Let the store refuse the report."""
    context.instance.records.refuses_writes = True


@given('the store has the reports "{reports}"')
def given_reports(context: Context, reports: str) -> None:
    """Store reports such as ``g i3 token 2 at 1.10``."""
    if reports == "none":
        return
    for words in (text.split() for text in reports.split(", ")):
        group, instance = words[:2]
        value = b"{}"
        if words[2] == "token":
            position = _position(words[5])
            acknowledged = AcknowledgedPositions(position, position)
            value = encode(ReportedPositions(instance, int(words[3]), acknowledged))
        run(context.group.instances.put, f"acknowledged-{group}-{instance}", value)


@given('a store whose list of "{prefix}" is {trouble}')
def given_trouble(context: Context, prefix: str, trouble: str) -> None:
    """Let the reads of some records fail."""
    records = context.group.instances
    if trouble == "refused":
        records.refused_prefix = prefix
    else:
        records.unanswered_prefix = prefix


@given("the lock is held for {seconds:g} s before it is extended")
def given_held(context: Context, seconds: float) -> None:
    """Choose when the lock expires, without its extension."""
    context.group.held_s = seconds


@then('it has reported "{reported}" with {calls:d} calls to the store')
def then_reported(context: Context, reported: str, calls: int) -> None:
    """Compare the report in the store, and count the writes."""
    records = context.instance.records
    found = run(read_reports, records, GROUP)
    expected = []
    if reported != "nothing":
        words = reported.split()
        acknowledged = AcknowledgedPositions(_position(words[3]), _position(words[5]))
        expected = [ReportedPositions(INSTANCE, int(words[1]), acknowledged)]
    assert found == expected, found
    assert records.write_count == calls, records.write_count


@then("the log says that the positions were not reported")
def then_not_reported(context: Context) -> None:
    """Count the log lines."""
    found = [line for line in context.lines if "positions not reported" in line]
    assert len(found) == 1, context.lines


@then("reports were read {count:d} times")
def then_read(context: Context, count: int) -> None:
    """Count the reads of the attempt."""
    counts = context.group.instances.list_count_by_prefix
    found = sum(n for prefix, n in counts.items() if prefix.startswith("acknowledged-"))
    assert found == count, counts
