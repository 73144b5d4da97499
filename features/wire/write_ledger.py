"""What callers were told of their writes."""

from trio import Event


class WriteLedger:
    """Holds the ids of writes by what the caller was told."""

    def __init__(self) -> None:
        # Instance that acknowledged each write.
        self.instance_by_acknowledged: dict[str, str] = {}
        self.not_run: set[str] = set()
        self.unknown: set[str] = set()
        self._changed = Event()

    @property
    def outcomes(self) -> int:
        """Number of writes that callers were told anything of."""
        return (
            len(self.instance_by_acknowledged) + len(self.not_run) + len(self.unknown)
        )

    def acknowledge(self, ids: tuple[str, ...], instance: str) -> None:
        """Add writes that a caller read DONE and READY for."""
        self.instance_by_acknowledged.update(dict.fromkeys(ids, instance))
        self._notify()

    def refuse(self, ids: tuple[str, ...]) -> None:
        """Add writes that were refused as not run."""
        self.not_run.update(ids)
        self._notify()

    def leave_unknown(self, ids: tuple[str, ...]) -> None:
        """Add writes whose outcome is unknown."""
        self.unknown.update(ids)
        self._notify()

    async def wait_for_outcomes(self, count: int) -> None:
        """Wait until callers were told of further writes, whatever it was."""
        end = self.outcomes + count
        while self.outcomes < end:
            await self._changed.wait()

    async def wait_for_acknowledged(self, count: int, instance: str = "") -> None:
        """Wait for further acknowledged writes, of one instance if it is named."""
        while count > 0:
            known = len(self.instance_by_acknowledged)
            await self._changed.wait()
            new = list(self.instance_by_acknowledged.values())[known:]
            count -= sum(1 for other in new if instance in ("", other))

    def _notify(self) -> None:
        self._changed.set()
        self._changed = Event()
