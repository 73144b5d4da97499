"""Brings a member connection into the state of a session."""

from typing import NamedTuple

from jackdawspread.decisions.sessions.prepared_statement_name import (
    prepared_statement_name,
)
from jackdawspread.decisions.sessions.session_state import SessionState
from jackdawspread.messages.fleet.connection_context import (
    EMPTY_CONTEXT,
    ConnectionContext,
)
from jackdawspread.messages.statements.execute_prepared import ExecutePrepared
from jackdawspread.messages.statements.member_command import MemberCommand
from jackdawspread.messages.statements.prepare_statement import PrepareStatement
from jackdawspread.messages.statements.reset_session import ResetSession
from jackdawspread.messages.statements.session_statement import SessionStatement
from jackdawspread.messages.statements.set_value import SetValue


class ConnectionPreparation(NamedTuple):
    """Commands that prepare a connection, and its session state after them."""

    commands: tuple[MemberCommand, ...]
    context: ConnectionContext


def prepare_connection(
    context: ConnectionContext, state: SessionState, statement: SessionStatement | None
) -> ConnectionPreparation:
    """Return the commands that apply a session's state to a member connection.

    A connection that has a value which the session does not have is reset, because
    members have no command to remove a single value. Only the template that
    ``statement`` executes is prepared.
    """
    commands: list[MemberCommand] = []
    if not context.value_by_name.keys() <= state.value_by_name.keys():
        commands.append(MemberCommand("", ResetSession()))
        context = EMPTY_CONTEXT
    for name, value in state.value_by_name.items():
        if context.value_by_name.get(name) != value:
            commands.append(MemberCommand("", SetValue(name, value)))
    templates = context.templates
    for writes, template in _needed_templates(state, statement) - templates:
        name = prepared_statement_name(writes, template)
        commands.append(MemberCommand("", PrepareStatement(name, writes, template)))
        templates = templates | {(writes, template)}
    return ConnectionPreparation(
        tuple(commands), ConnectionContext(dict(state.value_by_name), templates)
    )


def _needed_templates(
    state: SessionState, statement: SessionStatement | None
) -> frozenset[tuple[bool, str]]:
    if not isinstance(statement, ExecutePrepared):
        return frozenset()
    return frozenset(
        prepared
        for prepared in state.template_by_name.values()
        if prepared_statement_name(*prepared) == statement.name
    )
