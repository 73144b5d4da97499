"""Statements that can be sent to a member."""

from jackdawspread.messages.statements.demote_primary import DemotePrimary
from jackdawspread.messages.statements.pause_replication import PauseReplication
from jackdawspread.messages.statements.query_status import QueryStatus
from jackdawspread.messages.statements.reset_session import ResetSession
from jackdawspread.messages.statements.resume_replication import ResumeReplication
from jackdawspread.messages.statements.session_statement import SessionStatement

MemberStatement = (
    SessionStatement
    | ResetSession
    | QueryStatus
    | PauseReplication
    | ResumeReplication
    | DemotePrimary
)
