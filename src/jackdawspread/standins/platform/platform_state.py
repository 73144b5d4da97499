"""Rows and objects of the platform."""

from typing import NamedTuple

from jackdawspread.standins.platform.row import Row


class PlatformState(NamedTuple):
    """Table and object store.

    Versions come from one counter, so a key that was deleted and put again never
    gets an earlier version back.
    """

    row_by_key: dict[str, Row]
    object_by_name: dict[str, bytes]
    last_version: int
