"""Fake store and network of instances that poll the promotion states."""

from base64 import b64encode
from unittest import mock
from urllib.parse import parse_qs, urlsplit

from msgspec.json import encode
from trio import (
    CancelScope,
    MemoryReceiveChannel,
    MemorySendChannel,
    current_time,
    open_memory_channel,
    open_nursery,
    sleep,
)

from jackdawspread.codecs.peer_datagrams import decode_datagram, encode_datagram
from jackdawspread.messages.fleet.instance_entry import InstanceEntry
from jackdawspread.messages.fleet.peers_seen import PeersSeen
from jackdawspread.messages.fleet.promotion_states_seen import PromotionStatesSeen
from jackdawspread.messages.fleet.store_clock_sampled import StoreClockSampled
from jackdawspread.messages.http_outcome import HttpOutcome
from jackdawspread.platform import promotion_state_poll
from jackdawspread.platform.promotion_state_poll import PromotionStatePoll

# The clocks begin at different times.
BOOT_OFFSET_S = 1000.0
STORE_OFFSET_S = 5000.0
INBOX = 1000
# Time from an instance to the store, and back.
DELAY_S = 0.005


def boot_time() -> float:
    """Return the boot-clock time, which all instances share."""
    return current_time() + BOOT_OFFSET_S


def store_time() -> float:
    """Return the time of the store's clock."""
    return current_time() + STORE_OFFSET_S


class PromotionPollFleet:
    """Runs the polls of some instances; created in the thread that runs them.

    Parameters
    ----------
    domain_by_instance : dict
        Failure domain of each instance.
    """

    def __init__(
        self, domain_by_instance: dict[str, str], is_first_start: bool = True
    ) -> None:
        self._is_first_start = is_first_start
        self.entry_by_instance = {
            name: InstanceEntry(f"10.0.0.{number}:7", domain)
            for number, (name, domain) in enumerate(domain_by_instance.items())
        }
        self.value_by_key: dict[str, bytes] = {}
        self.epoch = 1
        # Raises the epoch after the next page.
        self.restores_after_page = False
        self.page_rows = 500
        self.is_down = False
        # Senders and receivers between which no datagram arrives.
        self.lost: set[tuple[str, str]] = set()
        self.reads: list[str] = []
        self.inbox_by_instance: dict[str, MemorySendChannel] = {}
        self.seen_by_instance: dict[str, MemoryReceiveChannel] = {}
        self._scope_by_instance = {name: CancelScope() for name in domain_by_instance}

    async def run(self) -> None:
        """Run the polls until cancelled."""
        fleet = self

        class FakeClient:
            def __init__(self, address: str, nursery: object) -> None:
                self._name = address

            async def call(self, method, target, body, deadline) -> HttpOutcome:
                return await fleet.answer(self._name, target)

        with (
            mock.patch.object(promotion_state_poll, "HttpClient", FakeClient),
            mock.patch.object(promotion_state_poll, "seconds_since_boot", boot_time),
        ):
            async with open_nursery() as tasks:
                for name, entry in self.entry_by_instance.items():
                    inbox, events = open_memory_channel(INBOX)
                    acknowledgements, seen = open_memory_channel(INBOX)
                    peers, sent = open_memory_channel(INBOX)
                    self.inbox_by_instance[name] = inbox
                    self.seen_by_instance[name] = seen
                    poll = PromotionStatePoll(
                        name,
                        name,
                        entry.failure_domain,
                        events,
                        acknowledgements,
                        peers,
                        self._is_first_start,
                    )
                    tasks.start_soon(self._run_one, name, poll)
                    tasks.start_soon(self._deliver, name, sent)

    async def _run_one(self, name: str, poll: PromotionStatePoll) -> None:
        with self._scope_by_instance[name]:
            await poll.run()

    async def _deliver(self, sender: str, sent: MemoryReceiveChannel) -> None:
        async for order in sent:
            assert not order.same_domain_only
            message = decode_datagram(encode_datagram(order.message))
            for name, inbox in self.inbox_by_instance.items():
                if name != sender and (sender, name) not in self.lost:
                    inbox.send_nowait(message)

    async def answer(self, name: str, target: str) -> HttpOutcome:
        """Answer a call with one page of rows."""
        self.reads.append(name)
        await sleep(DELAY_S)
        if self.is_down:
            return HttpOutcome(1, 1, 503, {}, True)
        query = {
            key: values[0] for key, values in parse_qs(urlsplit(target).query).items()
        }
        assert query["Table"] == "jackdawspread"
        keys = [
            key
            for key in sorted(self.value_by_key)
            if query["From"] <= key < query["To"]
        ]
        rows = [
            {"Key": key, "Value": b64encode(self.value_by_key[key]).decode(), "Ver": 3}
            for key in keys[: self.page_rows]
        ]
        body = {
            "rows": rows,
            "HasMore": len(keys) > self.page_rows,
            "NowMs": round(1000 * store_time()),
        }
        headers = {"store-era": str(self.epoch)}
        if self.restores_after_page:
            self.epoch, self.restores_after_page = self.epoch + 1, False
        await sleep(DELAY_S)
        return HttpOutcome(1, 1, 200, body, True, headers=headers, began_at=boot_time())

    async def register(self) -> None:
        """Tell all polls of the instances, and of the store's clock."""
        for inbox in self.inbox_by_instance.values():
            now = boot_time()
            sample = StoreClockSampled(store_time(), now - DELAY_S, now)
            inbox.send_nowait(sample)
            inbox.send_nowait(PeersSeen(self.entry_by_instance))

    async def lose(self, name: str) -> None:
        """End one instance."""
        self._scope_by_instance[name].cancel()

    async def put_lock(self, group: str, **fields: object) -> None:
        """Write the record of a promotion lock."""
        record = {"token": 7, "holder": "", "until": 0.0, "ordered": "", **fields}
        self.value_by_key[f"duty-{group}"] = encode(record)

    async def take_seen(self, name: str) -> list[PromotionStatesSeen]:
        """Return what an instance has learned since the last call."""
        seen = self.seen_by_instance[name]
        return [
            seen.receive_nowait() for _ in range(seen.statistics().current_buffer_used)
        ]
