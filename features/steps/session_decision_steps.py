"""Steps for the decisions about callers' sessions."""

from behave import given, then, when
from behave.runner import Context

from jackdawspread.decisions.sessions.answer_locally import AnswerLocally
from jackdawspread.decisions.sessions.connection_preparation import prepare_connection
from jackdawspread.decisions.sessions.connection_wait import connection_wait_s
from jackdawspread.decisions.sessions.member_outcomes import (
    refuse_aborted,
    refuse_read,
    refuse_write,
)
from jackdawspread.decisions.sessions.operation_check import check_operation
from jackdawspread.decisions.sessions.prepared_statement_name import (
    prepared_statement_name,
)
from jackdawspread.decisions.sessions.session_shutdown import (
    end_session_at,
    notify_session_at,
    refuse_while_stopping,
)
from jackdawspread.decisions.sessions.session_state import SessionState
from jackdawspread.decisions.sessions.statement_plan import plan_statement
from jackdawspread.decisions.sessions.unfinished_statement import refuse_unfinished
from jackdawspread.messages.execution_status import ExecutionStatus
from jackdawspread.messages.fleet.connection_context import (
    UNKNOWN_CONTEXT,
    ConnectionContext,
)
from jackdawspread.messages.fleet.consistency import Consistency
from jackdawspread.messages.fleet.database_route import DatabaseRoute
from jackdawspread.messages.fleet.fleet_configuration import FleetConfiguration
from jackdawspread.messages.refusal import Refusal
from jackdawspread.messages.statements.exchange_failure import ExchangeFailure
from jackdawspread.messages.statements.execute_prepared import ExecutePrepared
from jackdawspread.messages.statements.member_reply import MemberReply
from jackdawspread.messages.statements.session_phase import SessionPhase
from jackdawspread.platform.statement_texts import format_statement, parse_statement
from jackdawspread.settings.stop_times import StopTimes

# Schedule of a stop with a grace time of 6 s that begins at 0 s.
STOP_TIMES = StopTimes(2.3, 3.0, 4.5, 4.98, 5.1)
REFUSE_BY_STATEMENT = {
    "write": refuse_write,
    "read": refuse_read,
    "transaction statement": refuse_aborted,
}


@given("a session in the phase {phase}")
def session_in_phase(context: Context, phase: str) -> None:
    """Set the phase.

    ``read_only`` and ``has_written`` stand for an open transaction that only reads,
    and for one that has written.
    """
    read_only, has_written = phase == "read_only", phase == "has_written"
    name = "in_transaction" if read_only or has_written else phase
    context.state = SessionState(SessionPhase(name), read_only, has_written)


@when('the caller sends "{text}" {seconds:g} s after the stop of 6 s began')
def sends_while_stopping(context: Context, text: str, seconds: float) -> None:
    """Plan the statement and ask whether it is refused."""
    plan = plan_statement(parse_statement(text), context.state)
    in_transaction = context.state.phase is not SessionPhase.IDLE
    context.refusal = refuse_while_stopping(plan, in_transaction, STOP_TIMES, seconds)


@when('the process exits while the caller\'s "{text}" waits')
def exits_while_waiting(context: Context, text: str) -> None:
    """Refuse the planned statement."""
    plan = plan_statement(parse_statement(text), context.state)
    context.refusal = refuse_unfinished(plan, context.state)


@then("the caller is answered with {answer}")
def answered_with(context: Context, answer: str) -> None:
    """Compare the code; ``no`` stands for a statement that may run."""
    found = context.refusal.code if context.refusal else "no"
    assert found == answer, context.refusal
    claims_not_run = answer in ("busy", "aborted")
    if context.refusal:
        is_not_run = context.refusal.ran is ExecutionStatus.NOT_RUN
        assert is_not_run == claims_not_run, context.refusal


@when("its caller was active {seconds:g} s after the stop of 6 s began")
def active_at(context: Context, seconds: float) -> None:
    """Ask when the caller is told."""
    in_transaction = context.state.phase is not SessionPhase.IDLE
    context.notify_at = notify_session_at(STOP_TIMES, in_transaction, seconds)


@then("the caller is told {notify:g} s after the stop began")
def notified_at(context: Context, notify: float) -> None:
    """Compare the time."""
    assert context.notify_at == notify, context.notify_at


@when("its caller is told {seconds:g} s after the stop of 6 s began")
def told_at(context: Context, seconds: float) -> None:
    """Ask when the session ends."""
    context.end_at = end_session_at(STOP_TIMES, seconds)


@then("the session ends {end:g} s after the stop began")
def ended_at(context: Context, end: float) -> None:
    """Compare the time."""
    assert context.end_at == end, context.end_at


@when('the caller sends "{text}"')
def sends(context: Context, text: str) -> None:
    """Plan the statement."""
    context.plan = plan_statement(parse_statement(text), context.state)


@then("the plan is {plan} and the phase becomes {after}")
def plan_is(context: Context, plan: str, after: str) -> None:
    """Compare the plan, or the code of an answer that needs no member."""
    found, state = type(context.plan).__name__, context.state
    if isinstance(context.plan, AnswerLocally):
        result, state = context.plan
        found = result.code if isinstance(result, Refusal) else "done"
    assert (found, state.phase.value) == (plan, after), (found, state.phase)


def _values(text: str) -> dict[str, str]:
    return dict(pair.split("=") for pair in text.split(",") if pair)


@given('a connection with the values "{held}" and the templates "{templates}"')
@given('a connection with the values "{held}" and the templates ""')
@given('a connection with the values "" and the templates ""')
def connection(context: Context, held: str = "", templates: str = "") -> None:
    """Set the session state of the connection."""
    prepared = frozenset(
        (False, template) for template in templates.split(",") if template
    )
    context.context = ConnectionContext(
        UNKNOWN_CONTEXT.value_by_name if held == "unknown" else _values(held), prepared
    )


@when('a session with the values "{own}" executes its template "{template}" on it')
@when('a session with the values "" executes its template "{template}" on it')
def runs_on(context: Context, template: str, own: str = "") -> None:
    """Prepare the connection for the session."""
    state = SessionState(
        value_by_name=_values(own), template_by_name={"s1": (False, template)}
    )
    statement = ExecutePrepared(prepared_statement_name(False, template), "a")
    context.preparation = prepare_connection(context.context, state, statement)
    context.own = _values(own)


@then('the commands before the statement are "{commands}"')
@then('the commands before the statement are ""')
def commands_are(context: Context, commands: str = "") -> None:
    """Compare the kinds of commands, and the values that the connection then has."""
    words = [
        format_statement(command.statement).split(" ")[0]
        for command in context.preparation.commands
    ]
    assert ", ".join(words) == commands, words
    assert context.preparation.context.value_by_name == context.own


@given('a member answered a {statement} with "{outcome}"')
def member_answered(context: Context, statement: str, outcome: str) -> None:
    """Derive the refusal from the answer or from its absence."""
    if outcome in ("no answer", "lost before sent"):
        failure = ExchangeFailure(outcome == "no answer", outcome)
        context.refusal = REFUSE_BY_STATEMENT[statement](failure, "m1")
        return
    reply = MemberReply((), "", outcome, "", SessionPhase.IDLE, None)
    context.refusal = REFUSE_BY_STATEMENT[statement](reply, "m1")


@then("the caller receives {code} and {ran}")
def caller_receives(context: Context, code: str, ran: str) -> None:
    """Compare the code and the execution status."""
    assert (context.refusal.code, context.refusal.ran.value) == (code, ran)


@given("a configuration that was confirmed {age:d} s ago, of which 15 s are allowed")
def configuration_age(context: Context, age: int) -> None:
    """Configure two routes, one of them public."""
    context.age = float(age)
    context.configuration = FleetConfiguration(
        version=1,
        route_by_database={
            name: DatabaseRoute(
                name, "g", Consistency.PRIMARY, 0.0, 1.0, 0.1, 1, name == "open"
            )
            for name in ("db1", "open")
        },
        group_by_name={},
        limit_by_workspace={},
        workspace_by_key={"k1": "w1"},
        transaction_idle_s=3.0,
    )


@given("a route with a latency target of {target:d} ms and a timeout of {timeout:d} ms")
def route_times(context: Context, target: int, timeout: int) -> None:
    """Set the times of a route."""
    context.route = DatabaseRoute(
        "db", "g", Consistency.PRIMARY, 0.0, timeout / 1000, target / 1000, 1, False
    )


@then("a statement waits for a member for at most {wait:d} ms")
def waits_at_most(context: Context, wait: int) -> None:
    """Compare the time."""
    assert round(1000 * connection_wait_s(context.route)) == wait


@when('an operation for "{database}" comes with the key "{key}"')
def operation(context: Context, database: str, key: str) -> None:
    """Check the operation."""
    context.admission = check_operation(
        context.configuration, context.age, 15.0, database, key
    )


@then("its admission is {result}")
def admission_is(context: Context, result: str) -> None:
    """Compare the code of the refusal, if there is one."""
    refused = isinstance(context.admission, Refusal)
    assert (context.admission.code if refused else "admitted") == result
