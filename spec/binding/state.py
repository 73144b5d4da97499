"""State of the model of binding writes."""

from typing import NamedTuple

from spec.binding.attempt import Attempt
from spec.replicas.member import Member


class State(NamedTuple):
    """Members, the attempts of two submissions, and what was answered.

    Attempts 0 and 1 belong to the first submission, attempt 2 to the caller's retry
    through another instance.  ``acknowledged`` is the lowest term in which the write
    was acknowledged, 0 for none; ``not_run`` states per submission whether it was
    refused as not run.
    """

    members: tuple[Member, ...]
    attempts: tuple[Attempt, ...]
    acknowledged: int
    not_run: tuple[bool, bool]
