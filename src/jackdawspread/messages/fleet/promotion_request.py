"""Order to promote a member."""

from typing import NamedTuple

from trio import MemorySendChannel

from jackdawspread.messages.fleet.promotion_result import PromotionResult


class PromotionRequest(NamedTuple):
    """Asks the platform to make a member the primary of its group.

    Parameters
    ----------
    group : str
        Member group.
    member : str
        Id of the member that takes over.
    holder : str
        Name of the instance that holds the duty.
    fencing_token : int
        Token of the holder; the platform refuses one below the highest it has seen.
    reply_to : trio.MemorySendChannel
        Takes the result.
    """

    group: str
    member: str
    holder: str
    fencing_token: int
    reply_to: MemorySendChannel[PromotionResult]
