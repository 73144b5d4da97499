"""Connect check of a registered instance."""

from typing import Any

from trio import MemorySendChannel, move_on_after, open_tcp_stream

from jackdawspread.standins.platform.connect_check_result import ConnectCheckResult

CONNECT_TIMEOUT_S = 0.9


async def check_instance(address: str, results: MemorySendChannel[Any]) -> None:
    """Open a TCP connection to an address, close it and send the result."""
    is_reachable = False
    with move_on_after(CONNECT_TIMEOUT_S):
        try:
            host, port = address.rsplit(":", 1)
            stream = await open_tcp_stream(host, int(port))
            is_reachable = True
            await stream.aclose()
        except (OSError, ValueError):
            is_reachable = False
    await results.send(ConnectCheckResult(address, is_reachable))
