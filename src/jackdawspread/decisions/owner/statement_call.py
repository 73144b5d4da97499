"""Statement in flight at a member."""

from typing import NamedTuple


class StatementCall(NamedTuple):
    """Call that sends a request to a member; ``sent_at`` is monotonic, in seconds."""

    address: str
    connection: int
    request_id: int
    sent_at: float
