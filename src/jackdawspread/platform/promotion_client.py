"""Orders to the platform to promote a member."""

from trio import (
    BrokenResourceError,
    MemoryReceiveChannel,
    current_time,
    open_nursery,
)

from jackdawspread.messages.fleet.promotion_request import PromotionRequest
from jackdawspread.messages.fleet.promotion_result import PromotionResult
from jackdawspread.messages.http_outcome import HttpOutcome
from jackdawspread.tasks.http_client import HttpClient

# An answer takes a few milliseconds; a lost one is followed by the same order.
CALL_S = 0.5
RESULT_BY_STATUS = {200: PromotionResult.ACCEPTED, 409: PromotionResult.REJECTED}


class PromotionClient:
    """Makes promotion calls, one after the other.

    Parameters
    ----------
    address : str
        ``IP:port`` of the platform's duty calls.
    inbox : trio.MemoryReceiveChannel
        Orders.
    """

    def __init__(
        self, address: str, inbox: MemoryReceiveChannel[PromotionRequest]
    ) -> None:
        self._address = address
        self._inbox = inbox

    async def run(self) -> None:
        """Make calls until cancelled."""
        async with open_nursery() as connections:
            client = HttpClient(self._address, connections)
            async for order in self._inbox:
                outcome = await client.call(
                    "POST",
                    "/promote",
                    {"Service": order.group, "Id": order.member},
                    current_time() + CALL_S,
                    (
                        ("Jackdawspread-Duty-Holder", order.holder),
                        ("Jackdawspread-Fencing-Token", str(order.fencing_token)),
                    ),
                )
                try:
                    order.reply_to.send_nowait(_result(outcome))
                except BrokenResourceError:
                    # The attempt has been cancelled.
                    continue


def _result(outcome: HttpOutcome) -> PromotionResult:
    known = RESULT_BY_STATUS.get(outcome.status)
    if known is not None:
        return known
    if outcome.status or not outcome.sent:
        return PromotionResult.NOT_DONE
    return PromotionResult.UNKNOWN
