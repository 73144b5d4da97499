"""Changes rows if every expected version is in force."""

from typing import Any, NamedTuple


class Transact(NamedTuple):
    """Changes rows if every expected version is in force."""

    expect: dict[str, int]
    put: dict[str, Any]
    delete: tuple[str, ...] = ()
