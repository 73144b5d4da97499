"""Changes rows if every expected version is the current one."""

from typing import Any, NamedTuple


class Transact(NamedTuple):
    """Changes rows if every expected version is the current one."""

    expect: dict[str, int]
    put: dict[str, Any]
    delete: tuple[str, ...] = ()
