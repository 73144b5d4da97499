"""Table rows and objects of the platform."""

from typing import NamedTuple

from jackdawspread.standins.platform.row import Row


class PlatformState(NamedTuple):
    """State of the table and the object store.

    All versions come from one counter, so a key that is deleted and put again never
    gets one of its earlier versions.
    """

    row_by_key: dict[str, Row]
    object_by_name: dict[str, bytes]
    last_version: int
