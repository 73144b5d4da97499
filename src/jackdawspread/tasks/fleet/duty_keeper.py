"""Keeps the record of the duty to promote in a group."""

from absl import logging
from msgspec import DecodeError, ValidationError
from msgspec.json import decode, encode

from jackdawspread.decisions.succession.duty import (
    DUTY_HOLD_S,
    FREE_DUTY,
    note_order,
    release_duty,
    take_duty,
)
from jackdawspread.decisions.succession.duty_record import DutyRecord
from jackdawspread.decisions.succession.held_duty import HeldDuty
from jackdawspread.messages.fleet.record_outcome import RecordOutcome
from jackdawspread.messages.fleet.record_status import RecordStatus
from jackdawspread.tasks.fleet.record_calls import RecordCalls
from jackdawspread.tasks.steady_clock import steady_time

# Part of the duty's time that is left to end the pauses of the members.
RESUME_RESERVE_S = 1.0


class DutyKeeper:
    """Takes and releases duties by conditional writes.

    Parameters
    ----------
    instance : str
        Name of this instance.
    records : RecordCalls
        Access to the store.
    """

    def __init__(self, instance: str, records: RecordCalls) -> None:
        self._instance = instance
        self._records = records

    async def take(self, group: str) -> HeldDuty | str:
        """Take the duty of a group, or return why it can't be taken now."""
        name = f"duty-{group}"
        known = await self._records.read(name)
        if known.status is not RecordStatus.DONE:
            return "the store does not answer"
        asked_at = steady_time()
        present = _decode(known)
        record = take_duty(present, self._instance, known.store_time_s)
        if record is None:
            return f"the duty is held by {present['holder']}"
        held_until = asked_at + DUTY_HOLD_S
        outcome = await self._write(name, known.version, record, held_until)
        if outcome.status is not RecordStatus.DONE:
            return f"the duty was not written: {outcome.status.value}"
        return HeldDuty(name, outcome.version, record, held_until)

    async def announce(self, duty: HeldDuty, member: str) -> HeldDuty | None:
        """Record whom the holder will promote; None if that can't be recorded."""
        record = note_order(duty.record, member)
        give_up_at = duty.held_until - RESUME_RESERVE_S
        outcome = await self._write(duty.name, duty.version, record, give_up_at)
        if outcome.status is not RecordStatus.DONE:
            return None
        return duty._replace(version=outcome.version, record=record)

    async def release(self, duty: HeldDuty) -> None:
        """Give the duty up, so that others need not wait for its end."""
        record = release_duty(duty.record)
        outcome = await self._write(duty.name, duty.version, record, duty.held_until)
        if outcome.status is not RecordStatus.DONE:
            logging.info("succession: duty not released name=%s", duty.name)

    async def _write(
        self, name: str, version: int, record: DutyRecord, give_up_at: float
    ) -> RecordOutcome:
        """Write a record over a known version, also if answers are lost.

        A write without an answer may take effect later. The same write over the same
        version does no harm then, as only the first of the two is carried out.
        """
        while True:
            outcome = await self._records.write(name, version, encode(record))
            if outcome.status in (RecordStatus.DONE, RecordStatus.REFUSED):
                return outcome
            if outcome.status is RecordStatus.UNKNOWN:
                outcome = await self._records.read(name)
            if outcome.status is not RecordStatus.UNKNOWN:
                if _decode(outcome) == record:
                    return outcome._replace(status=RecordStatus.DONE)
                if outcome.version != version:
                    return outcome._replace(status=RecordStatus.CONFLICT)
            if steady_time() >= give_up_at:
                return RecordOutcome(RecordStatus.UNKNOWN)


def _decode(outcome: RecordOutcome) -> DutyRecord:
    if not outcome.value:
        return FREE_DUTY
    try:
        return decode(outcome.value, type=DutyRecord)
    except (DecodeError, ValidationError) as error:
        logging.error("succession: unreadable duty reason=%r", error)
        raise
