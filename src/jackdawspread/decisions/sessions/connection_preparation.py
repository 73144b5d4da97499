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
    """Commands that prepare a connection, and the state that they lead to."""

    commands: tuple[MemberCommand, ...]
    context: ConnectionContext


def prepare_connection(
    context: ConnectionContext, state: SessionState, statement: SessionStatement | None
) -> ConnectionPreparation:
    """Return the commands after which the connection shows the session's state.

    A connection with a value that the session does not have is reset, as a value
    can't be removed alone. Only the shape that ``statement`` runs is prepared.
    """
    commands: list[MemberCommand] = []
    if not context.value_by_name.keys() <= state.value_by_name.keys():
        commands.append(MemberCommand("", ResetSession()))
        context = EMPTY_CONTEXT
    for name, value in state.value_by_name.items():
        if context.value_by_name.get(name) != value:
            commands.append(MemberCommand("", SetValue(name, value)))
    templates = context.templates
    for writes, template in _needed_shapes(state, statement) - templates:
        name = prepared_statement_name(writes, template)
        commands.append(MemberCommand("", PrepareStatement(name, writes, template)))
        templates = templates | {(writes, template)}
    return ConnectionPreparation(
        tuple(commands), ConnectionContext(dict(state.value_by_name), templates)
    )


def _needed_shapes(
    state: SessionState, statement: SessionStatement | None
) -> frozenset[tuple[bool, str]]:
    if not isinstance(statement, ExecutePrepared):
        return frozenset()
    return frozenset(
        prepared
        for prepared in state.template_by_name.values()
        if prepared_statement_name(*prepared) == statement.name
    )
