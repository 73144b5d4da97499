"""Decision to verify a commit at other members."""

from typing import NamedTuple


class VerifyCommit(NamedTuple):
    """Acknowledges a commit once each of ``members`` has received it.

    Without a member it can't be verified.
    """

    members: frozenset[str]
