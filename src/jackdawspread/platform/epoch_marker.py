"""Row that stands for the current epoch of the platform's store."""

from typing import NamedTuple

from msgspec.json import encode

from jackdawspread.codecs.stored_json import decode_stored
from jackdawspread.messages.fleet.store_epoch import StoreEpoch
from jackdawspread.platform.store_rows import StoreRow

PREFIX = "epoch-"


class EpochMarker(NamedTuple):
    """Marker of an epoch, on which every conditional write in the epoch depends.

    Versions are given again after a restore, so a late write could meet the version
    that it expects. The first writer in an epoch creates the marker of that epoch and
    removes the earlier ones. A write that depends on an earlier marker then fails.

    Parameters
    ----------
    epoch : StoreEpoch
        The epoch.
    version : int
        Version of the row.
    """

    epoch: StoreEpoch
    version: int


class _Content(NamedTuple):
    began_s: float


def epoch_age_s(rows: list[StoreRow], number: int, store_time_s: float) -> float:
    """Return for how long an epoch had lasted at least; 0 if that is not known."""
    try:
        marker = find_marker(rows, number)
    except ValueError:
        # Whoever writes in the epoch logs and replaces it.
        return 0.0
    return max(0.0, store_time_s - marker.epoch.began_s) if marker else 0.0


def marker_key(number: int) -> str:
    """Return the key of the marker of an epoch."""
    return f"{PREFIX}{number}"


def encode_marker(epoch: StoreEpoch) -> bytes:
    """Encode the content of a marker."""
    return encode(_Content(epoch.began_s))


def find_marker(rows: list[StoreRow], number: int) -> EpochMarker | None:
    """Return the marker of an epoch, None if no row holds it.

    Raises
    ------
    ValueError
        If the content of the row is not that of a marker.
    """
    for row in rows:
        if row.key == marker_key(number):
            content = decode_stored(row.value, _Content)
            return EpochMarker(StoreEpoch(number, content.began_s), row.version)
    return None
