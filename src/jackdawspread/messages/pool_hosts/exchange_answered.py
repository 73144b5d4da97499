"""Answer of a member to an exchange that a pool host has run."""

from typing import NamedTuple

from jackdawspread.messages.statements.member_reply import MemberReply


class ExchangeAnswered(NamedTuple):
    """Returns the complete answer of the member, which may be an error."""

    exchange: int
    reply: MemberReply
