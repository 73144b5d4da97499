"""Request to promote a member."""

from typing import NamedTuple

from trio import MemorySendChannel

from jackdawspread.messages.fleet.promotion_result import PromotionResult


class PromotionRequest(NamedTuple):
    """Asks the users' platform to make a member the primary of its group.

    Parameters
    ----------
    group : str
        Member group.
    member : str
        Id of the member to promote.
    holder : str
        Name of the instance that holds the promotion lock of the group.
    fencing_token : int
        Fencing token of the promotion lock; the platform rejects a token lower than
        the highest one that it has received.
    reply_to : trio.MemorySendChannel
        Receives the result.
    timeout_s : float
        Time in seconds to wait for the answer.
    """

    group: str
    member: str
    holder: str
    fencing_token: int
    reply_to: MemorySendChannel[PromotionResult]
    timeout_s: float
