"""Preparation of a statement."""

from typing import NamedTuple


class PrepareStatement(NamedTuple):
    """Gives a statement template a name within the session.

    A template is the text of a statement without its arguments.
    """

    name: str
    writes: bool
    template: str
