"""Takes and releases the duty to promote in a group."""

from jackdawspread.decisions.succession.duty_record import DutyRecord

# Others wait this long for a holder to finish; a promotion takes under a second.
DUTY_HOLD_S = 3.0
FREE_DUTY = DutyRecord(token=0, holder="", until=0.0, ordered="")


def take_duty(
    record: DutyRecord, instance: str, store_time_s: float
) -> DutyRecord | None:
    """Return the record by which an instance takes the duty, None if it is held."""
    if record["holder"] and record["until"] > store_time_s:
        return None
    return DutyRecord(
        token=record["token"] + 1,
        holder=instance,
        until=store_time_s + DUTY_HOLD_S,
        ordered=record["ordered"],
    )


def note_order(record: DutyRecord, member: str) -> DutyRecord:
    """Return the record by which the holder announces whom it will promote.

    An order without an answer may be carried out later, so the next holder has to
    prefer the same member.
    """
    return DutyRecord(
        token=record["token"],
        holder=record["holder"],
        until=record["until"],
        ordered=member,
    )


def release_duty(record: DutyRecord) -> DutyRecord:
    """Return the record by which the holder gives the duty up."""
    return DutyRecord(
        token=record["token"], holder="", until=0.0, ordered=record["ordered"]
    )
