"""Outcome of one poll of the primary."""

from typing import Any, NamedTuple

from jackdawspread.standins.member.events.fetch_request import FetchRequest


class FetchResult(NamedTuple):
    """Order with the status and body of its answer; status 0 if none came."""

    order: FetchRequest
    status: int
    body: dict[str, Any]
