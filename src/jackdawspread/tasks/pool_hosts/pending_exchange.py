"""Exchange whose answer is awaited from a pool host."""

from typing import NamedTuple

from jackdawspread.messages.statements.member_exchange import MemberExchange


class PendingExchange(NamedTuple):
    """Exchange, and the boot-time clock in seconds when it was sent to the host."""

    exchange: MemberExchange
    sent_at: float
