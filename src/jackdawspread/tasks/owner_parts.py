"""Parts of one owner."""

from typing import NamedTuple

from jackdawspread.tasks.confirmer import Confirmer
from jackdawspread.tasks.connection_set import ConnectionSet
from jackdawspread.tasks.member_pools import MemberPools
from jackdawspread.tasks.placer import Placer
from jackdawspread.tasks.reply_book import ReplyBook
from jackdawspread.tasks.transaction_table import TransactionTable


class OwnerParts(NamedTuple):
    """Parts that the tasks of one owner share; all run in that owner's task."""

    connections: ConnectionSet
    pools: MemberPools
    confirmer: Confirmer
    transactions: TransactionTable
    placer: Placer
    replies: ReplyBook
