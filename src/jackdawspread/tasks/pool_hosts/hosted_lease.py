"""Lease that was granted to another instance."""

from typing import NamedTuple

from jackdawspread.messages.fleet.member_lease import MemberLease
from jackdawspread.messages.statements.member_reply import MemberReply


class HostedLease(NamedTuple):
    """Lease, and the last answer of the member on it."""

    lease: MemberLease
    last_reply: MemberReply | None = None
