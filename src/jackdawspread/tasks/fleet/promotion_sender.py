"""Sends promotion requests until they have a result."""

from absl import logging
from trio import MemorySendChannel, open_memory_channel, sleep

from jackdawspread.decisions.failover.held_promotion_lock import HeldPromotionLock
from jackdawspread.messages.fleet.failover_trigger import FailoverTrigger
from jackdawspread.messages.fleet.promotion_request import PromotionRequest
from jackdawspread.messages.fleet.promotion_result import PromotionResult
from jackdawspread.tasks.boot_clock import seconds_since_boot

PROMOTION_RETRY_DELAY_S = 0.1
# The platform of one deployment answers a promotion after 0.6 s.
PROMOTION_TIMEOUT_S = 1.0
# Requests for the present primary change nothing, so they are answered at once. Many
# have to fit into the time of the lock where answers are lost.
REPEAT_DELAY_S = 0.02
REPEAT_TIMEOUT_S = 0.15


class PromotionSender:
    """Requests the promotion of a member under a promotion lock.

    Parameters
    ----------
    instance : str
        Name of this instance.
    promotions : trio.MemorySendChannel
        Receives promotion requests for the users' platform.
    """

    def __init__(
        self, instance: str, promotions: MemorySendChannel[PromotionRequest]
    ) -> None:
        self._instance = instance
        self._promotions = promotions

    async def run(
        self,
        trigger: FailoverTrigger,
        candidate: str,
        lock: HeldPromotionLock,
        is_primary: bool,
    ) -> tuple[PromotionResult, bool]:
        """Request the promotion until it has a definite result or the lock expires.

        ``is_primary`` states that the candidate is the present primary. Return the last
        result, and whether a request was not answered, so that it may still take
        effect.
        """
        logging.info(
            "succession: promoting member=%s group=%s token=%d reason=%s",
            candidate,
            trigger.group,
            lock.record["token"],
            trigger.reason,
        )
        delay_s = REPEAT_DELAY_S if is_primary else PROMOTION_RETRY_DELAY_S
        timeout_s = REPEAT_TIMEOUT_S if is_primary else PROMOTION_TIMEOUT_S
        result = PromotionResult.NOT_DONE
        is_uncertain = False
        while seconds_since_boot() < lock.held_until:
            result = await self._request(trigger.group, candidate, lock, timeout_s)
            is_uncertain = is_uncertain or result is PromotionResult.UNKNOWN
            if result in (PromotionResult.ACCEPTED, PromotionResult.REJECTED):
                break
            await sleep(delay_s)
        return result, is_uncertain

    async def _request(
        self, group: str, candidate: str, lock: HeldPromotionLock, timeout_s: float
    ) -> PromotionResult:
        send, receive = open_memory_channel[PromotionResult](1)
        token = lock.record["token"]
        await self._promotions.send(
            PromotionRequest(group, candidate, self._instance, token, send, timeout_s)
        )
        return await receive.receive()
