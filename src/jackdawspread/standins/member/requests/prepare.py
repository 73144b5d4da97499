"""Asks the member to promise a term and to refuse lower ones."""

from typing import NamedTuple


class Prepare(NamedTuple):
    """Asks the member to promise a term and to refuse lower ones."""

    term: int
