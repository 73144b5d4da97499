"""Request for the epoch of the platform's store."""

from typing import NamedTuple

from trio import MemorySendChannel

from jackdawspread.messages.fleet.store_epoch import StoreEpoch


class EpochRead(NamedTuple):
    """Asks for the epoch; the reply is None if the store did not answer."""

    reply_to: MemorySendChannel[StoreEpoch | None]
