"""Decoding of the promotion locks in the platform's store."""

from collections.abc import Iterable

from absl import logging

from jackdawspread.decisions.acknowledgement.promotion_state_of import promotion_state
from jackdawspread.decisions.failover.promotion_lock_record import PromotionLockRecord
from jackdawspread.messages.fleet.promotion_state import PromotionState
from jackdawspread.messages.fleet.record_outcome import RecordOutcome
from jackdawspread.messages.fleet.record_status import RecordStatus
from jackdawspread.messages.position import Position
from jackdawspread.platform.store_rows import StoreRow
from jackdawspread.tasks.fleet.decode_promotion_lock import decode_promotion_lock
from jackdawspread.tasks.fleet.promotion_lock_client import promotion_lock_name

PREFIX = promotion_lock_name("")
FIRST_POSITION = Position(0, 0)


class PromotionRows:
    """Decodes each version of a record once, so that an odd one is logged once."""

    def __init__(self) -> None:
        self._epoch = 0
        self._record_by_row: dict[StoreRow, PromotionLockRecord | None] = {}

    def decode(
        self, rows: Iterable[StoreRow], epoch: int, store_time_s: float
    ) -> tuple[PromotionState, ...] | None:
        """Return the state of each group with a record.

        None if a record is unreadable. The requests that it names are not known then,
        so a state without them would let commits be lost.
        """
        if epoch != self._epoch:
            self._epoch, self._record_by_row = epoch, {}
        known, self._record_by_row = self._record_by_row, {}
        for row in rows:
            if not row.key.startswith(PREFIX):
                continue
            record = known[row] if row in known else _decode(row)
            self._record_by_row[row] = record
        states = []
        for row, record in self._record_by_row.items():
            if record is None:
                return None
            group = row.key.removeprefix(PREFIX)
            states.append(
                promotion_state(group, record, row.version, epoch, store_time_s)
            )
        return tuple(states)


def _decode(row: StoreRow) -> PromotionLockRecord | None:
    outcome = RecordOutcome(RecordStatus.DONE, row.version, row.value)
    record = decode_promotion_lock(outcome)
    if record is not None and len(record.get("log_end", FIRST_POSITION)) != 2:
        logging.error("succession: unreadable log end in the record key=%r", row.key)
        return None
    return record
