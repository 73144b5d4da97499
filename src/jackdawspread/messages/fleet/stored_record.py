"""Record as it is in the platform's store."""

from typing import NamedTuple


class StoredRecord(NamedTuple):
    """Name, version and content of a record."""

    name: str
    version: int
    value: bytes
