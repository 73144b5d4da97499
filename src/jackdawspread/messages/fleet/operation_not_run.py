"""Return of an operation's token."""

from typing import NamedTuple


class OperationNotRun(NamedTuple):
    """Says that an admitted operation of a workspace was not run anywhere."""

    workspace: str
