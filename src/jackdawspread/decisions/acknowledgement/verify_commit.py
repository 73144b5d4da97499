"""Decision to verify a commit at other members."""

from typing import NamedTuple


class VerifyCommit(NamedTuple):
    """Acknowledges a commit once each of ``members`` has received it.

    The member that answered has it if it still leads in the term of the commit. Without
    a member it can't be verified.
    """

    members: frozenset[str]
