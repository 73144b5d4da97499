"""Mechanism of a promise and the feature that must fail without it."""

from typing import NamedTuple


class Proof(NamedTuple):
    """One line of the source to change, and the scenario that must notice.

    Parameters
    ----------
    promise : str
        Name of the promise, as in docs/promises.md.
    without : str
        What the change leaves out.
    path : str
        File below src/jackdawspread.
    before, after : str
        Text that occurs once in the file, and its replacement.
    feature : str
        File below features.
    scenario : str
        Part of the scenario's name.
    """

    promise: str
    without: str
    path: str
    before: str
    after: str
    feature: str
    scenario: str
