"""One SQL statement."""

from typing import NamedTuple

Scalar = str | int | float | bool | None


class Statement(NamedTuple):
    """SQL text with its positional parameters."""

    sql: str
    parameters: tuple[Scalar, ...] = ()
