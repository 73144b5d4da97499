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
from jackdawspread.decisions.sessions.session_state import SessionState
from jackdawspread.decisions.sessions.statement_plan import plan_statement
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

REFUSE_BY_STATEMENT = {
    "write": refuse_write,
    "read": refuse_read,
    "inside": refuse_aborted,
}


@given("a session in the phase {phase}")
def session_in_phase(context: Context, phase: str) -> None:
    """Set the phase; a read-only transaction is a phase of its own here."""
    read_only = phase == "read_only"
    name = "in_transaction" if read_only else phase
    context.state = SessionState(phase=SessionPhase(name), read_only=read_only)


@when('it gets "{text}"')
def gets(context: Context, text: str) -> None:
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


@given('a connection with the values "{held}" and the shapes "{templates}"')
@given('a connection with the values "{held}" and the shapes ""')
@given('a connection with the values "" and the shapes ""')
def connection(context: Context, held: str = "", templates: str = "") -> None:
    """Describe what the connection holds."""
    prepared = frozenset(
        (False, template) for template in templates.split(",") if template
    )
    context.context = ConnectionContext(
        UNKNOWN_CONTEXT.value_by_name if held == "unknown" else _values(held), prepared
    )


@when('a session with the values "{own}" runs its shape "{template}" on it')
@when('a session with the values "" runs its shape "{template}" on it')
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
    """Classify the answer."""
    if outcome in ("silence", "lost before sent"):
        failure = ExchangeFailure(outcome == "silence", outcome)
        context.refusal = REFUSE_BY_STATEMENT[statement](failure, "m1")
        return
    reply = MemberReply((), "", outcome, "", SessionPhase.IDLE, None)
    context.refusal = REFUSE_BY_STATEMENT[statement](reply, "m1")


@then("the caller is told {code} and {ran}")
def told(context: Context, code: str, ran: str) -> None:
    """Compare code and promise."""
    assert (context.refusal.code, context.refusal.ran.value) == (code, ran)


@given("a configuration that was confirmed {age:d} s ago, of which 15 s are allowed")
def configuration_age(context: Context, age: int) -> None:
    """Describe two routes, one of them open to all."""
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
    """Describe a route."""
    context.route = DatabaseRoute(
        "db", "g", Consistency.PRIMARY, 0.0, timeout / 1000, target / 1000, 1, False
    )


@then("a statement waits for a member for at most {hold:d} ms")
def waits_at_most(context: Context, hold: int) -> None:
    """Compare the time."""
    assert round(1000 * connection_wait_s(context.route)) == hold


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
