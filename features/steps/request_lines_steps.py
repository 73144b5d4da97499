"""Steps for the log lines about a request."""

from pathlib import Path
from tempfile import TemporaryDirectory

from behave import given, then, when
from behave.runner import Context
from features.steps.platform_adapter_steps import SETTINGS
from typer.testing import CliRunner

from jackdawspread.commands.main import app
from jackdawspread.logs.log_budget import LogBudget, take_line
from jackdawspread.logs.log_line import parse_line
from jackdawspread.logs.request_lines import select_request_lines

FIRST = """2026-01-02 10:00:00,000 INFO router: primary changed group=h from=none to=m9
2026-01-02 10:00:09,100 INFO router: member unreachable member=m1 group=g
2026-01-02 10:00:09,200 INFO router: primary changed group=g from=m1 to=none
2026-01-02 10:00:09,900 INFO session: statement id=c7 kind=ReadItem outcome=busy
2026-01-02 10:00:09,950 INFO session: statement id=c8 kind=ReadItem outcome=done
2026-01-02 10:00:10,000 INFO router: primary changed group=g from=none to=m2
not a line of the log
"""
SECOND = """2026-01-02 10:00:09,500 INFO store: lost user=members
"""


@given("the logs of two instances that lost a primary")
def two_logs(context: Context) -> None:
    """Write the logs of two instances."""
    context.folder = TemporaryDirectory()
    context.add_cleanup(context.folder.cleanup)
    context.logs = []
    for name, text in (("i1.log", FIRST), ("i2.log", SECOND)):
        path = Path(context.folder.name) / name
        path.write_text(text, encoding="utf-8")
        context.logs.append(path)


@when('the request "{id}" is explained')
def explained(context: Context, id: str) -> None:
    """Select the lines about a request."""
    lines = [
        parse_line(line, path.name)
        for path in context.logs
        for line in path.read_text(encoding="utf-8").splitlines()
    ]
    context.selected_lines = select_request_lines(
        (line for line in lines if line is not None), id
    )


@when('the command explains the request "{id}"')
def run_explain(context: Context, id: str) -> None:
    """Run the explain command."""
    arguments = ["explain", id, *map(str, context.logs)]
    context.result = CliRunner().invoke(app, arguments)


@then('the selected lines have, in order: "{first}", "{second}", "{third}"')
def in_order(context: Context, first: str, second: str, third: str) -> None:
    """Check the texts of the selected lines."""
    texts = [line.text for line in context.selected_lines]
    assert len(texts) == 3, texts
    for text, part in zip(texts, (first, second, third), strict=True):
        assert part in text, texts


@then('no line about "{id}" and no line of the other instance is selected')
def no_other(context: Context, id: str) -> None:
    """Check that unrelated lines are left out."""
    assert all(line.source == "i1.log" for line in context.selected_lines)
    assert all(f"id={id}" not in line.text for line in context.selected_lines)


@then('it fails and says "{text}"')
def fails_with(context: Context, text: str) -> None:
    """Check exit status and output."""
    assert context.result.exit_code == 1, context.result
    assert text in context.result.output, context.result.output


@given("a full log budget")
def full_budget(context: Context) -> None:
    """Start with the full burst available."""
    context.budget, context.written = LogBudget(), 0


@when("{lines:d} lines are logged within {seconds:d} s")
def log_lines(context: Context, lines: int, seconds: int) -> None:
    """Take lines from the budget at equal intervals."""
    for number in range(lines):
        now = seconds * number / lines
        context.budget, allowed = take_line(context.budget, now)
        context.written += allowed
    context.lines = lines


@then("{written:d} lines are written and the others are counted as dropped")
def written_lines(context: Context, written: int) -> None:
    """Check the counts of written and dropped lines."""
    assert context.written == written, context.written
    assert context.written + context.budget.dropped == context.lines


@when('the command checks a platform\'s settings file with "{line}"')
def command_checks(context: Context, line: str) -> None:
    """Run the settings check on a temporary file."""
    with TemporaryDirectory() as folder:
        path = Path(folder) / "node.conf"
        path.write_text(SETTINGS + line + "\n", encoding="utf-8")
        arguments = ["settings", "check", "--platform", str(path)]
        context.result = CliRunner().invoke(app, arguments)


@then('it ends with the status {status:d} and says "{text}"')
def ends_with_status(context: Context, status: int, text: str) -> None:
    """Check exit status and output."""
    assert context.result.exit_code == status, context.result
    assert text in context.result.output, context.result.output
