"""Event: a member answered a probe."""

from typing import NamedTuple

from jackdawspread.decisions.owner.member_status import MemberStatus


class ProbeAnswered(NamedTuple):
    """Status that the member reported."""

    status: MemberStatus
