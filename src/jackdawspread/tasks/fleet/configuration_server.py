"""Gives copies of the configuration to other instances."""

from functools import partial

from absl import logging
from trio import (
    MemorySendChannel,
    SocketListener,
    SocketStream,
    WouldBlock,
    current_time,
    open_memory_channel,
    open_nursery,
)

from jackdawspread.codecs.configuration_copies import (
    decode_copy_frame,
    encode_copy_frame,
)
from jackdawspread.messages.fleet.configuration_copy import ConfigurationCopy
from jackdawspread.messages.fleet.configuration_copy_query import (
    ConfigurationCopyQuery,
)
from jackdawspread.messages.fleet.configuration_copy_request import (
    ConfigurationCopyRequest,
)
from jackdawspread.messages.fleet.configuration_event import ConfigurationEvent
from jackdawspread.tasks.accept import accept
from jackdawspread.tasks.fleet.copy_frames import COPY_ERRORS, read_frame
from jackdawspread.tasks.open_stream import enable_dead_peer_detection
from jackdawspread.tasks.run_isolated import run_isolated

PART = "configuration"
MAX_REQUEST_BYTES = 256
# An instance whose request is not served here asks another one.
MAX_STREAMS = 64


class ConfigurationServer:
    """Accepts connections of other instances; each gets one copy.

    Parameters
    ----------
    listener : trio.SocketListener
        Listening socket, owned by this task.
    keeper : trio.MemorySendChannel
        Inbox of the configuration keeper.
    """

    def __init__(
        self,
        listener: SocketListener,
        keeper: MemorySendChannel[ConfigurationEvent],
    ) -> None:
        self._listener = listener
        self._keeper = keeper
        self._streams = 0

    async def run(self) -> None:
        """Serve until cancelled."""
        async with open_nursery() as streams:
            while True:
                stream = await accept(self._listener, PART)
                streams.start_soon(run_isolated, PART, partial(self._serve, stream))

    async def _serve(self, stream: SocketStream) -> None:
        async with stream:
            if self._streams >= MAX_STREAMS:
                logging.vlog(1, "configuration: copy refused streams=%d", MAX_STREAMS)
                return
            self._streams += 1
            try:
                await self._answer(stream)
            except COPY_ERRORS as error:
                logging.info(
                    "configuration: copy not given reason=%r", error.__cause__ or error
                )
            finally:
                self._streams -= 1

    async def _answer(self, stream: SocketStream) -> None:
        enable_dead_peer_detection(stream)
        frame = await read_frame(stream, MAX_REQUEST_BYTES)
        request = decode_copy_frame(frame, ConfigurationCopyRequest)
        copy = await self._query(request)
        if copy is None:
            return
        begun_at = current_time()
        encoded = encode_copy_frame(copy)
        await stream.send_all(encoded)
        logging.info(
            "configuration: copy given version=%d base=%d bytes=%d ms=%d",
            copy.revision.version,
            copy.base.version,
            len(encoded),
            1000 * (current_time() - begun_at),
        )

    async def _query(
        self, request: ConfigurationCopyRequest
    ) -> ConfigurationCopy | None:
        send, receive = open_memory_channel[ConfigurationCopy | None](1)
        try:
            self._keeper.send_nowait(ConfigurationCopyQuery(request.base, send))
        except WouldBlock:
            logging.warning("configuration: copy not given, the inbox is full")
            return None
        return await receive.receive()
