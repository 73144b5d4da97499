"""What a pool host has not answered yet."""

from itertools import count

from trio import BrokenResourceError

from jackdawspread.messages.execution_status import ExecutionStatus
from jackdawspread.messages.fleet.connection_request import ConnectionRequest
from jackdawspread.messages.refusal import Refusal
from jackdawspread.messages.statements.exchange_failure import ExchangeFailure
from jackdawspread.messages.statements.member_exchange import MemberExchange
from jackdawspread.messages.statements.member_reply import MemberReply
from jackdawspread.tasks.boot_clock import seconds_since_boot
from jackdawspread.tasks.pool_hosts.lease_here import STEP, answer_request
from jackdawspread.tasks.pool_hosts.pending_exchange import PendingExchange

# Time for which the host may answer after a deadline.
ANSWER_RESERVE_S = 0.1


class UnansweredRequests:
    """Requests for leases and exchanges; belongs to the stream to the pool host.

    Parameters
    ----------
    host : str
        Id of the pool host.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self._ids = count(1)
        self._request_by_lease: dict[int, ConnectionRequest] = {}
        self._pending_by_exchange: dict[int, PendingExchange] = {}

    def __bool__(self) -> bool:
        """Whether an answer is awaited."""
        return bool(self._request_by_lease or self._pending_by_exchange)

    def add_request(self, request: ConnectionRequest) -> int:
        """Add a request for a lease and return the id of the lease."""
        lease = next(self._ids)
        self._request_by_lease[lease] = request
        return lease

    def add_exchange(self, exchange: MemberExchange) -> int:
        """Add an exchange and return its id."""
        id = next(self._ids)
        self._pending_by_exchange[id] = PendingExchange(exchange, seconds_since_boot())
        return id

    def take_request(self, lease: int) -> ConnectionRequest | None:
        """Remove and return the request for a lease, None if it has ended."""
        return self._request_by_lease.pop(lease, None)

    def finish_exchange(
        self, exchange: int, outcome: MemberReply | ExchangeFailure
    ) -> None:
        """Deliver the outcome of an exchange unless it has ended."""
        pending = self._pending_by_exchange.pop(exchange, None)
        if pending is None:
            return
        if isinstance(outcome, MemberReply):
            # The clock of the host is not that of this instance, and a sample of an
            # earlier time is valid too.
            outcome = outcome._replace(sent_at=pending.sent_at)
        deliver_outcome(pending.exchange, outcome)

    def expire(self, now: float) -> None:
        """End what the host has not answered in time."""
        for lease, request in list(self._request_by_lease.items()):
            if now > request.expires_at + ANSWER_RESERVE_S:
                del self._request_by_lease[lease]
                detail = "the pool host did not answer in time"
                answer_request(
                    request,
                    Refusal("busy", ExecutionStatus.NOT_RUN, STEP, self._host, detail),
                )
        for id, pending in list(self._pending_by_exchange.items()):
            if now > pending.exchange.deadline + ANSWER_RESERVE_S:
                del self._pending_by_exchange[id]
                reason = "no answer from the pool host in time"
                failure = ExchangeFailure(True, reason, at_host=True)
                deliver_outcome(pending.exchange, failure)

    def fail_exchanges(self, reason: str) -> None:
        """Fail all exchanges: the host may have received them."""
        for pending in self._pending_by_exchange.values():
            failure = ExchangeFailure(True, reason, at_host=True)
            deliver_outcome(pending.exchange, failure)
        self._pending_by_exchange.clear()

    def take_requests(self) -> list[ConnectionRequest]:
        """Remove and return all requests for leases."""
        requests = list(self._request_by_lease.values())
        self._request_by_lease.clear()
        return requests


def deliver_outcome(
    exchange: MemberExchange, outcome: MemberReply | ExchangeFailure
) -> None:
    """Deliver the outcome of an exchange unless its session has ended."""
    try:
        exchange.reply_to.send_nowait(outcome)
    except BrokenResourceError:
        return
