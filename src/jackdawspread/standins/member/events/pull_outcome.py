"""Outcome of one poll of the primary."""

from typing import Any, NamedTuple

from jackdawspread.standins.member.events.pull_order import PullOrder


class PullOutcome(NamedTuple):
    """Order with the status and body of its answer; status 0 if none came."""

    order: PullOrder
    status: int
    body: dict[str, Any]
