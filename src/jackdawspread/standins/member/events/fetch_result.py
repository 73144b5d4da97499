"""Result of one fetch from the primary."""

from typing import Any, NamedTuple

from jackdawspread.standins.member.events.fetch_request import FetchRequest


class FetchResult(NamedTuple):
    """Request with the status and body of its answer; status 0 if it got none."""

    request: FetchRequest
    status: int
    body: dict[str, Any]
