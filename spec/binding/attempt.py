"""One sending of a binding write to a member."""

from typing import NamedTuple


class Attempt(NamedTuple):
    """Stage (``idle``, ``sent``, ``ran`` or ``refused``) of an attempt.

    ``sent`` covers a request that is lost or still in flight.  ``term`` is the term
    named in the request; ``position`` is where the write stands in that term.
    """

    stage: str
    term: int
    position: int
