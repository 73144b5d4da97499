"""Model whose states have to allow a recovery."""

from collections.abc import Callable
from typing import Generic, NamedTuple, TypeVar

from spec.model import Model
from spec.mutant import Mutant

S = TypeVar("S")
R = TypeVar("R")


class RecoveryModel(NamedTuple, Generic[S, R]):
    """Model, and the recovery that has to be possible from some of its states.

    From each state for which ``needs_recovery`` a step has to be reachable that
    ``recovers``, by steps whose label ``is_allowed``. ``property_name`` is what a
    mutant has to refute.
    """

    name: str
    model: Model[S, R]
    property_name: str
    needs_recovery: Callable[[S, R], bool]
    is_allowed: Callable[[str], bool]
    recovers: Callable[[S, S], bool]
    mutants: tuple[Mutant[R], ...]
