"""Client of the platform's promotion call."""

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

RESULT_BY_STATUS = {200: PromotionResult.ACCEPTED, 409: PromotionResult.REJECTED}


class PromotionClient:
    """Sends promotion requests to the platform one at a time.

    Parameters
    ----------
    address : str
        ``IP:port`` at which the platform serves the promotion call.
    inbox : trio.MemoryReceiveChannel
        Promotion requests.
    """

    def __init__(
        self, address: str, inbox: MemoryReceiveChannel[PromotionRequest]
    ) -> None:
        self._address = address
        self._inbox = inbox

    async def run(self) -> None:
        """Send requests until cancelled."""
        async with open_nursery() as connections:
            client = HttpClient(self._address, connections)
            async for request in self._inbox:
                outcome = await client.call(
                    "POST",
                    "/promote",
                    {"Service": request.group, "Id": request.member},
                    current_time() + request.timeout_s,
                    (
                        ("Jackdawspread-Duty-Holder", request.holder),
                        ("Jackdawspread-Fencing-Token", str(request.fencing_token)),
                    ),
                )
                try:
                    request.reply_to.send_nowait(_to_result(outcome))
                except BrokenResourceError:
                    # The failover attempt that sent the request has been cancelled.
                    continue


def _to_result(outcome: HttpOutcome) -> PromotionResult:
    result = RESULT_BY_STATUS.get(outcome.status)
    if result is not None:
        return result
    if outcome.status or not outcome.sent:
        return PromotionResult.NOT_DONE
    return PromotionResult.UNKNOWN
