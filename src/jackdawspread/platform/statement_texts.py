"""Encoding of statements as text in the wire protocols."""

from functools import singledispatch

from jackdawspread.messages.statements.begin_transaction import BeginTransaction
from jackdawspread.messages.statements.commit_transaction import CommitTransaction
from jackdawspread.messages.statements.demote_primary import DemotePrimary
from jackdawspread.messages.statements.execute_prepared import ExecutePrepared
from jackdawspread.messages.statements.forget_statement import ForgetStatement
from jackdawspread.messages.statements.malformed_statement import MalformedStatement
from jackdawspread.messages.statements.pause_replication import PauseReplication
from jackdawspread.messages.statements.prepare_statement import PrepareStatement
from jackdawspread.messages.statements.query_status import QueryStatus
from jackdawspread.messages.statements.read_item import ReadItem
from jackdawspread.messages.statements.reset_session import ResetSession
from jackdawspread.messages.statements.resume_replication import ResumeReplication
from jackdawspread.messages.statements.rollback_transaction import RollbackTransaction
from jackdawspread.messages.statements.session_statement import SessionStatement
from jackdawspread.messages.statements.set_value import SetValue
from jackdawspread.messages.statements.write_item import WriteItem

STATEMENT_BY_TEXT: dict[str, SessionStatement] = {
    "BEGIN": BeginTransaction(read_only=False),
    "BEGIN READ": BeginTransaction(read_only=True),
    "COMMIT": CommitTransaction(),
    "ROLLBACK": RollbackTransaction(),
}
WRITES_BY_WORD = {"READ": False, "WRITE": True}


def parse_statement(text: str) -> SessionStatement:
    """Decode a statement; a text that is not valid gives a malformed statement."""
    statement = STATEMENT_BY_TEXT.get(text)
    if statement is not None:
        return statement
    word, _, rest = text.partition(" ")
    first, _, second = rest.partition(" ")
    if word == "READ" and rest.strip():
        return ReadItem(rest)
    if word == "WRITE" and first and second:
        return WriteItem(rest)
    if word == "SET" and first:
        return SetValue(first, second)
    if word == "EXEC" and first and second:
        return ExecutePrepared(first, second)
    if word == "FORGET" and first and not second:
        return ForgetStatement(first)
    if word == "PREPARE":
        mode, _, template = second.partition(" ")
        if first and mode in WRITES_BY_WORD and template:
            return PrepareStatement(first, WRITES_BY_WORD[mode], template)
    return MalformedStatement(f"the statement {word[:20]!r} is not understood")


@singledispatch
def format_statement(statement: object) -> str:
    """Encode a statement for a member."""
    raise TypeError(f"no text for {type(statement).__name__}")


@format_statement.register
def _(statement: BeginTransaction) -> str:
    return "BEGIN READ" if statement.read_only else "BEGIN"


@format_statement.register
def _(statement: CommitTransaction) -> str:
    return "COMMIT"


@format_statement.register
def _(statement: RollbackTransaction) -> str:
    return "ROLLBACK"


@format_statement.register
def _(statement: ReadItem) -> str:
    return f"READ {statement.arguments}"


@format_statement.register
def _(statement: WriteItem) -> str:
    return f"WRITE {statement.arguments}"


@format_statement.register
def _(statement: SetValue) -> str:
    return f"SET {statement.name} {statement.value}"


@format_statement.register
def _(statement: PrepareStatement) -> str:
    mode = "WRITE" if statement.writes else "READ"
    return f"PREPARE {statement.name} {mode} {statement.template}"


@format_statement.register
def _(statement: ExecutePrepared) -> str:
    return f"EXEC {statement.name} {statement.arguments}"


@format_statement.register
def _(statement: ForgetStatement) -> str:
    return f"FORGET {statement.name}"


@format_statement.register
def _(statement: ResetSession) -> str:
    return "RESET"


@format_statement.register
def _(statement: QueryStatus) -> str:
    return "STATUS"


@format_statement.register
def _(statement: PauseReplication) -> str:
    return f"PAUSE {statement.term}"


@format_statement.register
def _(statement: ResumeReplication) -> str:
    return "RESUME"


@format_statement.register
def _(statement: DemotePrimary) -> str:
    return f"DEMOTE {statement.term}"
