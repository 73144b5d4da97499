"""Client of the rosters in the records of the promotion locks."""

from msgspec.json import encode

from jackdawspread.decisions.failover.promotion_lock import is_held, record_roster
from jackdawspread.decisions.failover.stored_roster import StoredRoster
from jackdawspread.messages.fleet.record_status import RecordStatus
from jackdawspread.tasks.fleet.decode_promotion_lock import decode_promotion_lock
from jackdawspread.tasks.fleet.promotion_lock_client import promotion_lock_name
from jackdawspread.tasks.fleet.record_client import RecordClient


class RosterClient:
    """Reads rosters, and writes them by conditional writes.

    Parameters
    ----------
    records : RecordClient
        Access to the store.
    """

    def __init__(self, records: RecordClient) -> None:
        self._records = records

    async def read(self, group: str) -> StoredRoster | None:
        """Return the record of a group; None if it can't be read."""
        outcome = await self._records.read(promotion_lock_name(group))
        if outcome.status is not RecordStatus.DONE:
            return None
        record = decode_promotion_lock(outcome)
        if record is None:
            return None
        is_locked = is_held(record, outcome.store_time_s)
        return StoredRoster(group, outcome.version, outcome.epoch, record, is_locked)

    async def write(self, stored: StoredRoster, roster: frozenset[str]) -> bool:
        """Write a roster unless the record has changed; return whether it is done."""
        outcome = await self._records.write(
            promotion_lock_name(stored.group),
            stored.version,
            encode(record_roster(stored.record, roster)),
            stored.epoch,
        )
        return outcome.status is RecordStatus.DONE
