"""Steps for the story of a request."""

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


@given("the logs of two instances around a lost primary")
def two_logs(context: Context) -> None:
    """Write two logs."""
    context.folder = TemporaryDirectory()
    context.add_cleanup(context.folder.cleanup)
    context.logs = []
    for name, text in (("i1.log", FIRST), ("i2.log", SECOND)):
        path = Path(context.folder.name) / name
        path.write_text(text, encoding="utf-8")
        context.logs.append(path)


@when('the request "{id}" is explained')
def explained(context: Context, id: str) -> None:
    """Tell the story."""
    lines = [
        parse_line(line, path.name)
        for path in context.logs
        for line in path.read_text(encoding="utf-8").splitlines()
    ]
    context.story = select_request_lines(
        (line for line in lines if line is not None), id
    )


@when('the command explains the request "{id}"')
def command_explains(context: Context, id: str) -> None:
    """Run the command."""
    arguments = ["explain", id, *map(str, context.logs)]
    context.result = CliRunner().invoke(app, arguments)


@then('the story has, in order: "{first}", "{second}", "{third}"')
def in_order(context: Context, first: str, second: str, third: str) -> None:
    """Compare the lines."""
    texts = [line.text for line in context.story]
    assert len(texts) == 3, texts
    for text, part in zip(texts, (first, second, third), strict=True):
        assert part in text, texts


@then('it has no line of "{id}" and none of the other instance')
def no_other(context: Context, id: str) -> None:
    """Look for lines that do not belong."""
    assert all(line.source == "i1.log" for line in context.story)
    assert all(f"id={id}" not in line.text for line in context.story)


@then('it fails and says "{text}"')
def fails(context: Context, text: str) -> None:
    """Compare status and output."""
    assert context.result.exit_code == 1, context.result
    assert text in context.result.output, context.result.output


@given("a log budget that is full")
def full_budget(context: Context) -> None:
    """Start with all lines allowed."""
    context.budget, context.written = LogBudget(), 0


@when("{lines:d} lines come within {seconds:d} s")
def lines_come(context: Context, lines: int, seconds: int) -> None:
    """Take lines at even times."""
    for number in range(lines):
        now = seconds * number / lines
        context.budget, allowed = take_line(context.budget, now)
        context.written += allowed
    context.lines = lines


@then("{written:d} are written and the others are counted")
def written_lines(context: Context, written: int) -> None:
    """Compare the counts."""
    assert context.written == written, context.written
    assert context.written + context.budget.dropped == context.lines


@when('the command checks a platform\'s settings file with "{line}"')
def command_checks(context: Context, line: str) -> None:
    """Run the command on a written file."""
    with TemporaryDirectory() as folder:
        path = Path(folder) / "node.conf"
        path.write_text(SETTINGS + line + "\n", encoding="utf-8")
        arguments = ["settings", "check", "--platform", str(path)]
        context.result = CliRunner().invoke(app, arguments)


@then('it ends with the status {status:d} and says "{text}"')
def ends_with_status(context: Context, status: int, text: str) -> None:
    """Compare status and output."""
    assert context.result.exit_code == status, context.result
    assert text in context.result.output, context.result.output
