"""Fake instances to which promotion states are announced."""

from functools import partial
from math import inf

from trio import (
    MemoryReceiveChannel,
    Nursery,
    current_time,
    open_memory_channel,
    open_nursery,
    sleep,
)

from jackdawspread.messages.fleet.acknowledged_positions import (
    NOTHING_ACKNOWLEDGED,
    AcknowledgedPositions,
)
from jackdawspread.messages.fleet.announcement_event import AnnouncementEvent
from jackdawspread.messages.fleet.promotion_announcement_received import (
    PromotionAnnouncementReceived,
)
from jackdawspread.messages.fleet.promotion_state import PromotionState
from jackdawspread.tasks.fleet.promotion_announcement_task import (
    PromotionAnnouncementTask,
)

OWN = "i1"
# One way.
DATAGRAM_DELAY_S = 0.002
INBOX = 200


class AnnouncedInstances:
    """Instances that confirm announcements, one of which announces.

    Parameters
    ----------
    lost_by_instance : dict
        Number of the first datagrams to each instance that are lost, infinite for one
        that never confirms. The announcing one is ``i1``.
    """

    def __init__(self, lost_by_instance: dict[str, float]) -> None:
        self.lost_by_instance = lost_by_instance
        self.address_by_instance = {
            instance: f"10.0.1.{instance[1:]}:7" for instance in lost_by_instance
        }
        # Announced ids and states by receiver, in their order, also those lost.
        self.received: dict[str, list[tuple[int, PromotionState]]] = {
            instance: [] for instance in lost_by_instance
        }
        # What instances have acknowledged before a state.
        self.acknowledged_by_instance: dict[str, AcknowledgedPositions] = {}
        # Times at which an instance confirmed a state.
        self.confirmed_at: dict[str, float] = {}

    def start(
        self, nursery: Nursery, inbox: MemoryReceiveChannel[AnnouncementEvent], send
    ) -> None:
        """Run the announcement task and the instances until cancelled.

        ``inbox`` is that of the announcement task, ``send`` its other end.
        """
        peers, datagrams = open_memory_channel(INBOX)
        own, announcements = open_memory_channel(INBOX)
        task = PromotionAnnouncementTask(OWN, inbox, peers, own)
        nursery.start_soon(task.run)
        nursery.start_soon(self._deliver, datagrams, send)
        nursery.start_soon(self._confirm_own, announcements)

    async def _deliver(self, datagrams, send) -> None:
        async with open_nursery() as nursery:
            async for event in datagrams:
                nursery.start_soon(partial(self._answer, event, send))

    async def _answer(self, event, send) -> None:
        await sleep(DATAGRAM_DELAY_S)
        instance = next(
            id
            for id, address in self.address_by_instance.items()
            if address == event.peer
        )
        if self._is_lost(instance, event.message):
            return
        await sleep(DATAGRAM_DELAY_S)
        await send.send(
            PromotionAnnouncementReceived(
                event.message.id, instance, self._acknowledged(instance)
            )
        )

    async def _confirm_own(self, announcements) -> None:
        async for event in announcements:
            is_lost = self._is_lost(OWN, event.announced)
            if event.reply_to is not None and not is_lost:
                event.reply_to.send_nowait(self._acknowledged(OWN))

    def _acknowledged(self, instance: str) -> AcknowledgedPositions:
        return self.acknowledged_by_instance.get(instance, NOTHING_ACKNOWLEDGED)

    def _is_lost(self, instance: str, announced) -> bool:
        received = self.received[instance]
        received.append((announced.id, announced.state))
        if len(received) <= self.lost_by_instance.get(instance, inf):
            return True
        self.confirmed_at.setdefault(instance, current_time())
        return False
