"""Steps for what sessions ask the acknowledgement task."""

from behave import given, then, when
from behave.runner import Context
from features.fakes.gated_session import STATEMENT_BY_WORD, GatedSession
from features.support.log_lines import collect_log_lines

from jackdawspread.messages.position import Position
from jackdawspread.messages.refusal import Refusal
from jackdawspread.messages.statements.session_phase import SessionPhase
from jackdawspread.messages.statements.session_request import SessionRequest
from jackdawspread.tasks.sessions.statement_log import log_statement

NOTHING = "nothing"


@given(
    'an acknowledgement task whose answer to writes is "{writable}" and to commits '
    '"{confirmed}"'
)
def gated_session(context: Context, writable: str, confirmed: str) -> None:
    """Create the session."""
    answer_by_text = {"yes": True, "no": False, "never": None}
    context.session = GatedSession(answer_by_text[writable], answer_by_text[confirmed])


@when("a session runs a {kind}")
def runs(context: Context, kind: str) -> None:
    """Run the statement or the transaction."""
    context.session.run(kind)


@then('its caller gets "{answer}"')
def caller_gets(context: Context, answer: str) -> None:
    """Compare the result, and the basis of a commit or the reason of a refusal."""
    outcome = context.session.outcome
    result = outcome.result
    if isinstance(result, Refusal):
        reason = result.detail.rpartition(": ")[2]
        found = f"{result.code} {result.ran.value}: {reason}"
    else:
        found = f"done {outcome.basis}".strip()
    assert found == answer, outcome
    assert outcome.state.phase is SessionPhase.IDLE, outcome


@then('the member has run "{commands}"')
def member_has_run(context: Context, commands: str) -> None:
    """Compare the commands."""
    found = ",".join(context.session.commands) or NOTHING
    assert found == commands, found


@then('the acknowledgement task was asked "{questions}"')
def was_asked(context: Context, questions: str) -> None:
    """Compare the requests."""
    found = ",".join(context.session.asked) or NOTHING
    assert found == questions, found


@then('the router is told of "{positions}", and the session is at {position}')
def router_told(context: Context, positions: str, position: str) -> None:
    """Compare the positions; that of a BEGIN confirms no write either."""
    expected = [] if positions == NOTHING else positions.split(",")
    found = [(seen.confirms_write, seen.position) for seen in context.session.positions]
    wanted = []
    for text in expected:
        word, _, at = text.partition(" ")
        wanted.append((word == "confirmed", Position(*map(int, at.split(".")))))
    assert found == wanted, found
    known = context.session.outcome.state.position
    assert (f"{known[0]}.{known[1]}" if known else "none") == position, known


@then("every connection that it leased was returned")
def returned(context: Context) -> None:
    """Compare leases and returns."""
    session = context.session
    assert session.returned == session.leased, (session.returned, session.leased)


@then('the log line of the statement ends with "{end}"')
def line_ends(context: Context, end: str) -> None:
    """Log the outcome and compare the end of the line."""
    with collect_log_lines() as lines:
        request = SessionRequest("id", STATEMENT_BY_WORD["write"])
        outcome = context.session.outcome
        log_statement("d", request, SessionPhase.IDLE, None, outcome, 0.001)
    assert lines[0].endswith(end), lines
