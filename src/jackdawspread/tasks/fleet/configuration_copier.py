"""Gets copies of the configuration from other instances."""

from absl import logging
from trio import (
    MemoryReceiveChannel,
    MemorySendChannel,
    current_time,
)

from jackdawspread.codecs.configuration_copies import (
    decode_copy_frame,
    encode_copy_frame,
)
from jackdawspread.messages.fleet.configuration_copy import ConfigurationCopy
from jackdawspread.messages.fleet.configuration_copy_request import (
    ConfigurationCopyRequest,
)
from jackdawspread.messages.fleet.configuration_event import ConfigurationEvent
from jackdawspread.messages.fleet.configuration_fetched import ConfigurationFetched
from jackdawspread.messages.fleet.configuration_way import ConfigurationWay
from jackdawspread.messages.fleet.fetch_configuration import FetchConfiguration
from jackdawspread.tasks.fleet.copy_frames import COPY_ERRORS, read_frame
from jackdawspread.tasks.fleet.fleet_metrics import (
    CONFIGURATION_BYTES,
    CONFIGURATION_TRANSFERS,
)
from jackdawspread.tasks.open_stream import open_stream


class ConfigurationCopier:
    """Fetches one copy at a time; nothing ends a fetch that makes progress.

    Parameters
    ----------
    inbox : trio.MemoryReceiveChannel
        What to fetch, and from where.
    keeper : trio.MemorySendChannel
        Inbox of the configuration keeper, which gets the outcome of each fetch.
    """

    def __init__(
        self,
        inbox: MemoryReceiveChannel[FetchConfiguration],
        keeper: MemorySendChannel[ConfigurationEvent],
    ) -> None:
        self._inbox = inbox
        self._keeper = keeper
        self._received_bytes = 0

    async def run(self) -> None:
        """Fetch until cancelled."""
        async for order in self._inbox:
            begun_at, self._received_bytes = current_time(), 0
            copy, result = None, "done"
            try:
                copy = await self._fetch(order)
            except COPY_ERRORS as error:
                result = str(error.__cause__ or error) or type(error).__name__
            self._report(order, copy, result, begun_at)
            await self._keeper.send(ConfigurationFetched(order.source, copy))

    async def _fetch(self, order: FetchConfiguration) -> ConfigurationCopy:
        async with await open_stream(order.address) as stream:
            request = ConfigurationCopyRequest(order.base)
            await stream.send_all(encode_copy_frame(request))
            frame = await read_frame(stream, received=self._count)
            return decode_copy_frame(frame, ConfigurationCopy)

    def _count(self, count: int) -> None:
        self._received_bytes += count

    def _report(
        self,
        order: FetchConfiguration,
        copy: ConfigurationCopy | None,
        result: str,
        begun_at: float,
    ) -> None:
        labels = (ConfigurationWay.PEER.value, "done" if copy else "failed")
        CONFIGURATION_TRANSFERS.labels(*labels).inc()
        CONFIGURATION_BYTES.labels(*labels).inc(self._received_bytes)
        logging.info(
            "configuration: fetch ended peer=%s result=%r bytes=%d ms=%d base=%d "
            "version=%s",
            order.source,
            result,
            self._received_bytes,
            1000 * (current_time() - begun_at),
            order.base.version,
            copy.revision.version if copy is not None else "none",
        )
