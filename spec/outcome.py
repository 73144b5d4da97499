"""Outcome of one check."""

from typing import NamedTuple


class Outcome(NamedTuple):
    """Whether a check passed, and the lines that report it."""

    passed: bool
    lines: tuple[str, ...]
