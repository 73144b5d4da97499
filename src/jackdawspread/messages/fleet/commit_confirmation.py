"""Whether a commit may be acknowledged to its caller."""

from typing import NamedTuple


class CommitConfirmation(NamedTuple):
    """Result of the check of one commit.

    Parameters
    ----------
    is_confirmed : bool
        Whether no promotion that may still take effect can lose the commit.
    basis : str
        What that relies on, or why it is not known, for the log.
    """

    is_confirmed: bool
    basis: str
