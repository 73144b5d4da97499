"""Entries of stand-in members in the store's list."""

from collections import Counter

from features.wire.table_store import TableStore
from trio import Nursery, sleep

TABLE = "servers"
# Members write their entries again within about two seconds of the store's return.
REWRITE_S = 1.5


class MemberEntries:
    """Writes the entries of members at once, late, or after an outage of the store."""

    def __init__(self, store: TableStore, nursery: Nursery) -> None:
        self._store = store
        self._nursery = nursery
        self._entry_by_id: dict[str, bytes] = {}
        # Number of reasons for which a member can't write its entry.
        self._holds_by_id: Counter[str] = Counter()
        self._missed: list[str] = []

    def write(self, id: str, entry: bytes) -> None:
        """Write an entry, or keep it while its member can't."""
        self._entry_by_id[id] = entry
        if self._store.is_down and id not in self._missed:
            self._missed.append(id)
            self._holds_by_id[id] += 1
        if not self._holds_by_id[id]:
            self._store.put(TABLE, id, entry)

    def remove(self, id: str) -> None:
        """Remove the entry of a member that is gone."""
        self._entry_by_id.pop(id, None)
        self._store.delete(TABLE, id)

    def hold(self, id: str, seconds: float) -> None:
        """Keep what a member writes from now on until a time has passed."""
        self._holds_by_id[id] += 1
        self._nursery.start_soon(self._release_later, id, seconds)

    def lapse(self, id: str, seconds: float) -> None:
        """Remove the entry of a member that can't write it until a time has passed."""
        self.hold(id, seconds)
        self._store.delete(TABLE, id)

    async def stop_store(self, seconds: float) -> None:
        """Let the store refuse all calls for a time."""
        self._store.set_down(True)
        await sleep(seconds)
        self._store.set_down(False)
        missed, self._missed = self._missed, []
        await sleep(REWRITE_S)
        for id in missed:
            self._release(id)

    async def _release_later(self, id: str, seconds: float) -> None:
        await sleep(seconds)
        self._release(id)

    def _release(self, id: str) -> None:
        self._holds_by_id[id] -= 1
        if id in self._entry_by_id:
            self.write(id, self._entry_by_id[id])
