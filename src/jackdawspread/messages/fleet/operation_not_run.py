"""Return of the rate token of an operation that was not run."""

from typing import NamedTuple


class OperationNotRun(NamedTuple):
    """Reports that no member ran an admitted operation of a workspace."""

    workspace: str
