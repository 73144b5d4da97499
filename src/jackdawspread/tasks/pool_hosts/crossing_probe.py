"""Measures the delay to a failure domain."""

from trio import (
    BrokenResourceError,
    ClosedResourceError,
    MemorySendChannel,
    SocketStream,
    current_time,
    move_on_after,
    sleep,
)

from jackdawspread.codecs.pool_host_frames import PoolHostFrames, encode_frame
from jackdawspread.messages.pool_hosts.crossing_measured import CrossingMeasured
from jackdawspread.messages.pool_hosts.crossing_unmeasured import CrossingUnmeasured
from jackdawspread.messages.pool_hosts.lease_broker_event import LeaseBrokerEvent
from jackdawspread.messages.pool_hosts.link_probe import LinkProbe
from jackdawspread.tasks.open_stream import open_stream

READ_CHUNK_BYTES = 4096
# The smallest round trip of several counts: a busy machine only lengthens one.
PROBES = 5
PROBE_INTERVAL_S = 0.02
ANSWER_TIMEOUT_S = 0.5


class CrossingProbe:
    """Sends a few probes to an instance of a failure domain.

    The own domain is measured too, since that delay is subtracted from the others.

    Parameters
    ----------
    failure_domain : str
        Failure domain to measure.
    addresses : tuple of str
        ``IP:port`` of instances there, which are tried in this order.
    broker : trio.MemorySendChannel
        Receives the result.
    delay_s : float
        Seconds to wait before the measurement.
    """

    def __init__(
        self,
        failure_domain: str,
        addresses: tuple[str, ...],
        broker: MemorySendChannel[LeaseBrokerEvent],
        delay_s: float,
    ) -> None:
        self._failure_domain = failure_domain
        self._addresses = addresses
        self._broker = broker
        self._delay_s = delay_s

    async def run(self) -> None:
        """Measure once and report the result."""
        await sleep(self._delay_s)
        for address in self._addresses:
            round_trip_s = await _smallest_round_trip_s(address)
            if round_trip_s is not None:
                delay_s = round_trip_s / 2
                await self._broker.send(CrossingMeasured(self._failure_domain, delay_s))
                return
        await self._broker.send(CrossingUnmeasured(self._failure_domain))


async def _smallest_round_trip_s(address: str) -> float | None:
    try:
        stream = await open_stream(address)
        async with stream:
            frames = PoolHostFrames()
            round_trips_s = []
            for _ in range(PROBES):
                round_trips_s.append(await _round_trip_s(stream, frames))
                await sleep(PROBE_INTERVAL_S)
            return min(round_trips_s)
    except (OSError, BrokenResourceError, ClosedResourceError, ValueError):
        return None


async def _round_trip_s(stream: SocketStream, frames: PoolHostFrames) -> float:
    """Return the seconds until a probe is answered; raise OSError if it is not."""
    sent_at = current_time()
    with move_on_after(ANSWER_TIMEOUT_S):
        await stream.send_all(encode_frame(LinkProbe(is_reply=False)))
        while True:
            data = await stream.receive_some(READ_CHUNK_BYTES)
            if not data:
                raise ConnectionResetError("the stream was closed")
            frames.receive(data)
            while (message := frames.next_message()) is not None:
                if isinstance(message, LinkProbe) and message.is_reply:
                    return current_time() - sent_at
    raise TimeoutError("the probe was not answered")
