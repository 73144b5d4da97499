"""Statement in flight."""

from typing import NamedTuple


class StatementCall(NamedTuple):
    """Call of a request to a member; ``sent_at`` is in monotonic seconds."""

    address: str
    connection: int
    request_id: int
    sent_at: float
