"""Connect check of a registered instance."""

from typing import Any

from trio import MemorySendChannel, move_on_after, open_tcp_stream

from jackdawspread.standins.platform.connect_check_result import ConnectCheckResult

CONNECT_TIMEOUT_S = 0.9


async def check_instance(address: str, outcomes: MemorySendChannel[Any]) -> None:
    """Open a TCP connection to an address, close it and report the outcome."""
    answered = False
    with move_on_after(CONNECT_TIMEOUT_S):
        try:
            host, port = address.rsplit(":", 1)
            stream = await open_tcp_stream(host, int(port))
            answered = True
            await stream.aclose()
        except (OSError, ValueError):
            answered = False
    await outcomes.send(ConnectCheckResult(address, answered))
