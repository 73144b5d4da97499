"""Asks to promise a term and to refuse lower ones."""

from typing import NamedTuple


class Prepare(NamedTuple):
    """Asks to promise a term and to refuse lower ones."""

    term: int
