"""Read of all records with a common beginning of their names."""

from typing import NamedTuple

from trio import MemorySendChannel

from jackdawspread.messages.fleet.stored_record import StoredRecord


class RecordList(NamedTuple):
    """Asks the platform's store for all records whose names begin with ``prefix``.

    The reply is None if the store did not answer.
    """

    prefix: str
    reply_to: MemorySendChannel[list[StoredRecord] | None]
