"""Model of one mechanism."""

from collections.abc import Callable, Iterable
from typing import Generic, NamedTuple, TypeVar

from spec.mutant import Mutant

S = TypeVar("S")
R = TypeVar("R")


class Model(NamedTuple, Generic[S, R]):
    """State, rules, named actions and named invariants of a mechanism.

    An action yields ``(arguments, next state)`` for each way in which it can run.
    ``canonical`` maps states that differ only by a symmetry to one of them; mutants
    run without it, so that the names in a counterexample stay the same.
    """

    name: str
    initial: S
    rules: R
    actions: tuple[Callable[[S, R], Iterable[tuple[str, S]]], ...]
    invariants: dict[str, Callable[[S], bool]]
    mutants: tuple[Mutant[R], ...]
    canonical: Callable[[S], S] | None = None
    max_states: int = 2_000_000
