"""Faults of the connections between instances, members and the store."""

from trio import Event, current_time, sleep

# Longer silence ends a connection in the kernel, as between machines.
MAX_SILENCE_S = 0.7


class FaultLinks:
    """Holds the silent and the slow directions, by the names of both ends.

    Connections stay open: what is sent in a silent direction is held.
    """

    def __init__(self) -> None:
        self._silent: set[tuple[str, str]] = set()
        self._delay_by_direction: dict[tuple[str, str], float] = {}
        self._changed = Event()

    def is_silent(self, sender: str, receiver: str) -> bool:
        """Whether a direction is silent."""
        return (sender, receiver) in self._silent

    def silence(self, sender: str, receiver: str) -> None:
        """Hold what is sent in one direction."""
        self._silent.add((sender, receiver))

    def cut(self, one: str, other: str) -> None:
        """Hold what is sent in both directions."""
        self._silent |= {(one, other), (other, one)}

    def restore(self, one: str, other: str) -> None:
        """End the faults between two ends."""
        self._silent -= {(one, other), (other, one)}
        for direction in ((one, other), (other, one)):
            self._delay_by_direction.pop(direction, None)
        self._notify()

    def restore_all(self) -> None:
        """End all faults."""
        self._silent.clear()
        self.end_delays()
        self._notify()

    def delay(self, sender: str, receiver: str, seconds: float) -> None:
        """Delay what is sent in one direction."""
        self._delay_by_direction[sender, receiver] = seconds

    def end_delays(self) -> None:
        """Send without delay in all directions."""
        self._delay_by_direction.clear()

    async def transfer(self, sender: str, receiver: str) -> bool:
        """Wait until a message arrives; return false if its connection has ended."""
        if delay_s := self._delay_by_direction.get((sender, receiver), 0.0):
            await sleep(delay_s)
        held_since = current_time()
        while self.is_silent(sender, receiver):
            await self._changed.wait()
        return current_time() - held_since <= MAX_SILENCE_S

    def _notify(self) -> None:
        self._changed.set()
        self._changed = Event()
