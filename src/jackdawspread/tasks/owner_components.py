"""Components of one owner."""

from typing import NamedTuple

from jackdawspread.tasks.confirmer import Confirmer
from jackdawspread.tasks.connection_manager import ConnectionManager
from jackdawspread.tasks.member_pools import MemberPools
from jackdawspread.tasks.member_selector import MemberSelector
from jackdawspread.tasks.pending_replies import PendingReplies
from jackdawspread.tasks.transaction_table import TransactionTable


class OwnerComponents(NamedTuple):
    """Components that one owner's classes share; all run in the task of that owner."""

    connections: ConnectionManager
    pools: MemberPools
    confirmer: Confirmer
    transactions: TransactionTable
    member_selector: MemberSelector
    replies: PendingReplies
