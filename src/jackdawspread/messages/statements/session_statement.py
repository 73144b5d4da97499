"""Statements that a caller can send in a session."""

from jackdawspread.messages.statements.begin_transaction import BeginTransaction
from jackdawspread.messages.statements.commit_transaction import CommitTransaction
from jackdawspread.messages.statements.execute_prepared import ExecutePrepared
from jackdawspread.messages.statements.forget_statement import ForgetStatement
from jackdawspread.messages.statements.malformed_statement import MalformedStatement
from jackdawspread.messages.statements.prepare_statement import PrepareStatement
from jackdawspread.messages.statements.read_item import ReadItem
from jackdawspread.messages.statements.rollback_transaction import RollbackTransaction
from jackdawspread.messages.statements.set_value import SetValue
from jackdawspread.messages.statements.write_item import WriteItem

SessionStatement = (
    BeginTransaction
    | CommitTransaction
    | RollbackTransaction
    | ReadItem
    | WriteItem
    | SetValue
    | PrepareStatement
    | ExecutePrepared
    | ForgetStatement
    | MalformedStatement
)
