"""Event: a member answered a probe."""

from typing import NamedTuple

from jackdawspread.decisions.owner.member_status import MemberStatus


class ProbeAnswered(NamedTuple):
    """Carries the status that the member reported."""

    status: MemberStatus
