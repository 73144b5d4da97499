"""Decoding of the record of a promotion lock."""

from absl import logging

from jackdawspread.codecs.stored_json import decode_stored
from jackdawspread.decisions.failover.promotion_lock import FREE_PROMOTION_LOCK
from jackdawspread.decisions.failover.promotion_lock_record import PromotionLockRecord
from jackdawspread.messages.fleet.record_outcome import RecordOutcome


def decode_promotion_lock(outcome: RecordOutcome) -> PromotionLockRecord | None:
    """Return the record; None if it is unreadable, as its fencing token is unknown."""
    if not outcome.value:
        return FREE_PROMOTION_LOCK
    try:
        return decode_stored(outcome.value, PromotionLockRecord)
    except ValueError as error:
        logging.error("succession: unreadable promotion lock reason=%r", str(error))
        return None
