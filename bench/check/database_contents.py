"""What a database holds after a run."""

from typing import NamedTuple


class DatabaseContents(NamedTuple):
    """Contents of a database as read from its primary.

    Parameters
    ----------
    records : tuple of str
        Request id of every binding record, in order.
    mismatches : tuple of tuple
        Rows whose records and totals disagree.
    error : str
        Why the database could not be read; empty if it was.
    """

    records: tuple[str, ...]
    mismatches: tuple[tuple[object, ...], ...]
    error: str = ""
