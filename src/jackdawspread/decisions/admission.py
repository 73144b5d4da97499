"""Checks a request before it is routed."""

from hashlib import sha256
from typing import NamedTuple

from expression import Error, Ok, Result

from jackdawspread.messages.caller_request import CallerRequest
from jackdawspread.messages.control_snapshot import ControlSnapshot
from jackdawspread.messages.execution_status import ExecutionStatus
from jackdawspread.messages.refusal import Refusal
from jackdawspread.messages.request_kind import RequestKind
from jackdawspread.messages.session import Session

IDEMPOTENCY_KEY_KINDS = frozenset({RequestKind.WRITE, RequestKind.COMMIT})
# The end of a transaction frees its resources, so it is exempt from the rate limit.
RATE_EXEMPT_KINDS = frozenset({RequestKind.COMMIT, RequestKind.ROLLBACK})


class Admission(NamedTuple):
    """Workspace, key id and database of an admitted request."""

    workspace: str
    key_id: str
    database: str


def key_id_of(key: str) -> str:
    """Return the SHA-256 of a key in hexadecimal."""
    return sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


def admit(
    request: CallerRequest,
    session: Session,
    snapshot: ControlSnapshot,
    databases: frozenset[str],
    now: float,
) -> Result[Admission, Refusal]:
    """Check authority, key, session token and database of a request.

    Authority is the right of an instance to admit work: a lease that a majority of
    the instances renews.

    Parameters
    ----------
    request : CallerRequest
        Request of a caller.
    session : Session
        Session of the request's token; its workspace is empty if there is no token.
    snapshot : ControlSnapshot
        Current state of the control plane at this instance.
    databases : frozenset of str
        Names of the databases.
    now : float
        Monotonic time in seconds.
    """
    if now >= snapshot.authority_deadline:
        detail = "this instance has lost contact with its peers; try another instance"
        return _refuse("no_authority", detail)
    key_id = key_id_of(request.key)
    workspace = workspace_of_key(key_id, snapshot)
    if not request.key or workspace is None:
        return _refuse("unauthorized", "send a valid key in Authorization: Bearer")
    if session.workspace and session.workspace != workspace:
        return _refuse(
            "bad_session_token", "Session-Token belongs to another workspace"
        )
    if now >= request.deadline:
        return _refuse("deadline_exceeded", "the deadline passed before admission")
    if request.kind in IDEMPOTENCY_KEY_KINDS and not request.idempotency_key:
        detail = "send an Idempotency-Key with every write and commit"
        return _refuse("idempotency_key_required", detail)
    database = request.database or database_of_transaction(request.transaction_id)
    if request.transaction_id and database not in databases:
        return _refuse("unknown_transaction", "no such transaction")
    return _check_database(workspace, key_id, database, snapshot, databases)


def workspace_of_key(key_id: str, snapshot: ControlSnapshot) -> str | None:
    """Return the workspace of a valid key, None if the key is not valid."""
    entry = snapshot.configuration["key_by_id"].get(key_id)
    if entry is None or entry["withdrawn"]:
        return None
    if key_id in snapshot.withdrawn_key_ids:
        return None
    return entry["workspace"]


def database_of_transaction(transaction_id: str) -> str:
    """Return the database in the id ``<incarnation>.<database>.<number>``.

    It is empty if the id is malformed.
    """
    parts = transaction_id.split(".")
    return parts[1] if len(parts) == 3 else ""


def incarnation_of_transaction(transaction_id: str) -> str:
    """Return the incarnation, the id of a process start, that runs a transaction."""
    return transaction_id.split(".")[0]


def _check_database(
    workspace: str,
    key_id: str,
    database: str,
    snapshot: ControlSnapshot,
    databases: frozenset[str],
) -> Result[Admission, Refusal]:
    if database not in databases:
        return _refuse("unknown_database", f"there is no database {database[:100]!r}")
    document = snapshot.configuration["workspace_by_name"].get(workspace)
    allowed = document["databases"] if document else []
    if document is None or (allowed and database not in allowed):
        detail = f"workspace {workspace} may not use database {database}"
        return _refuse("forbidden", detail)
    return Ok(Admission(workspace, key_id, database))


def _refuse(code: str, detail: str) -> Result[Admission, Refusal]:
    return Error(Refusal(code, ExecutionStatus.NOT_RUN, "admission", "", detail))
