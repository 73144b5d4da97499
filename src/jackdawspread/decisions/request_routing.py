"""Chooses the instance that runs a request."""

from expression import Error

from jackdawspread.decisions.admission import incarnation_of_transaction
from jackdawspread.messages.control_snapshot import ControlSnapshot
from jackdawspread.messages.execution_status import ExecutionStatus
from jackdawspread.messages.refusal import Refusal
from jackdawspread.messages.reply import Reply
from jackdawspread.messages.request_kind import RequestKind
from jackdawspread.messages.routed_request import RoutedRequest

# A read changes no data, and a write or an outcome query is identified by its request
# id, so these can be retried whether or not an earlier attempt has run.
IDEMPOTENT_KINDS = frozenset({RequestKind.READ, RequestKind.WRITE, RequestKind.OUTCOME})
# Refusals that concern the chosen instance, not the request.
REROUTABLE_CODES = frozenset(
    {"not_owner", "peer_unreachable", "peer_overloaded", "no_authority"}
)


def choose_peer(
    request: RoutedRequest, snapshot: ControlSnapshot, attempt: int
) -> str | None:
    """Return the peer address of the instance that is to run a request.

    A request of a transaction goes to the instance that began the transaction. Any
    other request goes to the active owner of its database first, and to the other
    live owners on further attempts. A database has three owners, ordered by rank; the
    first live one is active.
    """
    if request.transaction_id:
        incarnation = incarnation_of_transaction(request.transaction_id)
        for view in reversed(snapshot.unsettled_views):
            for name, member in view.member_by_incarnation.items():
                # An instance that rejoins a view adds a suffix to its id.
                if name.partition(".")[0] == incarnation:
                    return member.peer_address
        return None
    addresses = snapshot.owner_addresses_by_database.get(request.database, ())
    return addresses[attempt % len(addresses)] if addresses else None


def final_reply(request: RoutedRequest, reply: Reply, may_have_run: bool) -> Reply:
    """Return the reply to a request after its last attempt.

    A refusal describes only the last attempt. The caller receives the status "not
    run" only if no attempt has run.
    """
    if reply.is_ok() or not may_have_run or request.kind is RequestKind.READ:
        return reply
    refusal = reply.error
    if refusal.ran is not ExecutionStatus.NOT_RUN:
        return reply
    detail = f"an earlier attempt may have run; the last one got {refusal.code}"
    return Error(
        refusal._replace(
            code="outcome_unknown", ran=ExecutionStatus.UNKNOWN, detail=detail
        )
    )


def may_reroute(request: RoutedRequest, refusal: Refusal) -> bool:
    """Return whether a refused request may be retried at another instance."""
    if refusal.code not in REROUTABLE_CODES or request.transaction_id:
        return False
    return refusal.ran is ExecutionStatus.NOT_RUN or request.kind in IDEMPOTENT_KINDS
