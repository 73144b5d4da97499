"""Server side of the streams between instances."""

from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from threading import Thread

from absl import logging
from grpc import (
    ServicerContext,
    method_handlers_generic_handler,
    server,
    stream_stream_rpc_method_handler,
)
from trio import Nursery, RunFinishedError, open_nursery, sleep_forever
from trio.lowlevel import TrioToken, current_trio_token

from jackdawspread.tasks.frame_queue import FrameQueue
from jackdawspread.tasks.peer_server_stream import PeerServerStream

SERVICE = "jackdawspread.Peer"
METHOD = "Exchange"
# Each stream occupies one thread, which blocks while there is nothing to send.
MAX_STREAMS = 64
SERVER_OPTIONS = (
    ("grpc.http2.min_ping_interval_without_data_ms", 500),
    ("grpc.http2.max_ping_strikes", 0),
    ("grpc.keepalive_time_ms", 2_000),
    ("grpc.keepalive_timeout_ms", 1_000),
    ("grpc.so_reuseport", 0),
)
STOP_GRACE_S = 0.5


class PeerServer:
    """Owns the grpcio server and starts one task per incoming stream.

    Parameters
    ----------
    address : str
        ``IP:port`` to listen on.
    create_stream : callable
        Function that creates the task of a stream, given its outgoing queue.
    """

    def __init__(
        self, address: str, create_stream: Callable[[FrameQueue], PeerServerStream]
    ) -> None:
        self._address = address
        self._create_stream = create_stream

    async def run(self) -> None:
        """Serve until cancelled."""
        token = current_trio_token()
        async with open_nursery() as nursery:

            def exchange(
                requests: Iterator[bytes], context: ServicerContext
            ) -> Iterator[bytes]:
                return self._exchange(requests, context, token, nursery)

            handler = stream_stream_rpc_method_handler(exchange)
            generic = method_handlers_generic_handler(SERVICE, {METHOD: handler})
            grpc_server = server(
                ThreadPoolExecutor(MAX_STREAMS), (generic,), options=SERVER_OPTIONS
            )
            grpc_server.add_insecure_port(self._address)
            grpc_server.start()
            logging.info("peer: listening address=%s", self._address)
            try:
                await sleep_forever()
            finally:
                grpc_server.stop(STOP_GRACE_S)

    def _exchange(
        self,
        requests: Iterator[bytes],
        context: ServicerContext,
        token: TrioToken,
        nursery: Nursery,
    ) -> Iterator[bytes]:
        """Serve one stream; runs in a thread of grpcio."""
        queue = FrameQueue()
        stream = self._create_stream(queue)
        context.add_callback(queue.close)
        token.run_sync_soon(nursery.start_soon, stream.run)
        reader = Thread(
            target=_read, args=(requests, stream, queue, token), daemon=True
        )
        reader.start()
        return queue.batches()


def _read(
    requests: Iterator[bytes],
    stream: PeerServerStream,
    queue: FrameQueue,
    token: TrioToken,
) -> None:
    """Forward batches to the stream's task until the stream ends; runs in a thread."""
    try:
        for data in requests:
            token.run_sync_soon(stream.post, data)
    except Exception as error:
        logging.info("peer: incoming stream ended reason=%s", type(error).__name__)
    queue.close()
    with suppress(RunFinishedError):
        token.run_sync_soon(stream.close)
