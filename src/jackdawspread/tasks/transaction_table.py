"""Open interactive transactions of one owner."""

from itertools import count

from absl import logging

from jackdawspread.decisions.owner.running_request import RunningRequest
from jackdawspread.decisions.owner.transaction import Transaction
from jackdawspread.decisions.owner.transaction_check import (
    IDLE_SECONDS,
    MAX_TRANSACTION_SECONDS,
    check_transaction,
    end_statement,
    must_roll_back,
    start_statement,
)
from jackdawspread.messages.refusal import Refusal
from jackdawspread.messages.routed_request import RoutedRequest
from jackdawspread.tasks.member_pools import MemberPools


class TransactionTable:
    """Owns the open transactions and the connections that they are pinned to.

    Parameters
    ----------
    prefix : str
        ``<incarnation>.<database>``, by which any instance finds the owner.
    pools : MemberPools
        Pools that the connections come from.
    """

    def __init__(self, prefix: str, pools: MemberPools) -> None:
        self._prefix = prefix
        self._pools = pools
        self._numbers = count(1)
        self._transaction_by_id: dict[str, Transaction] = {}

    def __len__(self) -> int:
        """Return how many transactions are open."""
        return len(self._transaction_by_id)

    def get(self, id: str) -> Transaction | None:
        """Return an open transaction, or None."""
        return self._transaction_by_id.get(id)

    def begin(
        self, running: RunningRequest, member_transaction: str, now: float
    ) -> str:
        """Pin the connection on which a transaction has begun; return its id."""
        id = f"{self._prefix}.{next(self._numbers)}"
        self._pools.set_use(running.address, running.connection, "transaction")
        self._transaction_by_id[id] = Transaction(
            id=id,
            workspace=running.request.workspace,
            address=running.address,
            connection=running.connection,
            member_transaction=member_transaction,
            term=running.term,
            idle_at=now + IDLE_SECONDS,
            deadline=now + MAX_TRANSACTION_SECONDS,
        )
        return id

    def reserve(self, request: RoutedRequest) -> Refusal | None:
        """Reserve a transaction for one statement, or return a refusal."""
        transaction = self.get(request.transaction_id)
        refusal = check_transaction(transaction, request)
        if refusal is None and transaction is not None:
            self._transaction_by_id[transaction.id] = start_statement(transaction)
        return refusal

    def complete_statement(self, request: RoutedRequest, now: float) -> None:
        """End a statement's reservation of its transaction.

        A request of another workspace never had a reservation.
        """
        transaction = self.get(request.transaction_id)
        if transaction is not None and transaction.workspace == request.workspace:
            self._transaction_by_id[transaction.id] = end_statement(transaction, now)

    def end(self, id: str, now: float) -> None:
        """Release the connection of a committed or rolled back transaction."""
        transaction = self._transaction_by_id.pop(id, None)
        if transaction is not None:
            self._pools.release(transaction.address, transaction.connection, now)

    def drop(self, id: str, reason: str) -> None:
        """Close the connection of a transaction, so that the member rolls it back."""
        transaction = self._transaction_by_id.pop(id, None)
        if transaction is not None:
            self._pools.close(transaction.address, transaction.connection)
            logging.info("owner: dropped transaction id=%s reason=%s", id, reason)

    def drop_replaced_terms(self, term: int) -> list[str]:
        """Drop the idle transactions of replaced terms; return the busy ones."""
        older = [t for t in self._transaction_by_id.values() if t.term < term]
        for transaction in older:
            if not transaction.is_busy:
                self.drop(transaction.id, "new term")
        return [transaction.id for transaction in older if transaction.is_busy]

    def drop_expired(self, now: float) -> None:
        """Roll back the transactions that passed their idle time or their deadline."""
        for transaction in list(self._transaction_by_id.values()):
            if must_roll_back(transaction, now):
                self.drop(transaction.id, "idle or at its deadline")
