"""Pending replies of one owner."""

from expression import Error
from trio import BrokenResourceError, ClosedResourceError, Nursery, WouldBlock

from jackdawspread.decisions.owner.pending_reply import PendingReply
from jackdawspread.decisions.owner.request_check import refuse
from jackdawspread.messages.reply import Reply
from jackdawspread.messages.routed_reply import RoutedReply
from jackdawspread.messages.routed_submission import RoutedSubmission
from jackdawspread.tasks.owner_metrics import REQUESTS
from jackdawspread.tasks.transaction_table import TransactionTable

DETAIL_BY_CODE = {
    "queue_timeout": "the request waited in the queue for too long",
    "not_owner": "this instance is not an owner of the database",
}


class PendingReplies:
    """Owns the unanswered submissions and replies to each exactly once.

    Parameters
    ----------
    database : str
        Name of the database, for metrics.
    transactions : TransactionTable
        Notified when a statement of a transaction has been answered.
    nursery : trio.Nursery
        Runs the tasks that send replies to a full channel.
    """

    def __init__(
        self, database: str, transactions: TransactionTable, nursery: Nursery
    ) -> None:
        self._database = database
        self._transactions = transactions
        self._nursery = nursery
        self._pending_by_id: dict[int, PendingReply] = {}

    def add(self, id: int, submission: RoutedSubmission, now: float) -> None:
        """Record a submission under the owner's id."""
        self._pending_by_id[id] = PendingReply(submission, now)

    def refuse(self, id: int, code: str, now: float) -> None:
        """Refuse a request that has not been sent."""
        self.complete(id, Error(refuse(code, DETAIL_BY_CODE[code])), now)

    def complete(self, id: int, reply: Reply, now: float) -> None:
        """Send the reply, after which the request's transaction may continue."""
        submission = self._pending_by_id.pop(id).submission
        request = submission.request
        if request.transaction_id:
            self._transactions.complete_statement(request, now)
        self.send(submission, reply)

    def send(self, submission: RoutedSubmission, reply: Reply) -> None:
        """Send a reply to a submission."""
        request = submission.request
        role = reply.ok.role if reply.is_ok() else ""
        outcome = "ok" if reply.is_ok() else reply.error.code
        REQUESTS.labels(self._database, request.kind.value, role, outcome).inc()
        routed = RoutedReply(request.id, reply)
        try:
            submission.reply_to.send_nowait(routed)
        except WouldBlock:
            self._nursery.start_soon(_send_later, submission, routed)
        except (BrokenResourceError, ClosedResourceError):
            return


async def _send_later(submission: RoutedSubmission, reply: RoutedReply) -> None:
    try:
        await submission.reply_to.send(reply)
    except (BrokenResourceError, ClosedResourceError):
        return
