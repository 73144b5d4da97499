"""Timer of the control task."""

from contextlib import suppress

from trio import MemorySendChannel, WouldBlock, current_time, sleep_until

from jackdawspread.messages.control_tick import ControlTick

TICK_INTERVAL_S = 0.05


class ControlTimer:
    """Sends a tick to the control task at a fixed interval.

    Parameters
    ----------
    control : trio.MemorySendChannel
        Inbox of the control task. When it is full, the tick is dropped, because the
        next tick does the same work.
    """

    def __init__(self, control: MemorySendChannel[ControlTick]) -> None:
        self._control = control

    async def run(self) -> None:
        """Send ticks until cancelled."""
        while True:
            with suppress(WouldBlock):
                self._control.send_nowait(ControlTick())
            await sleep_until(current_time() + TICK_INTERVAL_S)
