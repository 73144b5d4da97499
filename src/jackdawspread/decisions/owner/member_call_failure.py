"""Call to a member without an answer."""

from typing import NamedTuple


class MemberCallFailure(NamedTuple):
    """Tells whether any byte may have reached the member."""

    was_sent: bool
    detail: str
