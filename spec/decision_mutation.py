"""Change of one line of the decisions."""

from typing import NamedTuple


class DecisionMutation(NamedTuple):
    """Text of one line and its replacement, and the comparison that must fail.

    Parameters
    ----------
    part : str
        Part of features/conformance.feature.
    path : str
        File under src/jackdawspread.
    old, new : str
        Text that is replaced at its first occurrence.
    """

    part: str
    path: str
    old: str
    new: str
