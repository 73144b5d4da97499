"""Mutant of a model."""

from typing import Generic, NamedTuple, TypeVar

R = TypeVar("R")


class Mutant(NamedTuple, Generic[R]):
    """Changed rules, and the invariant that the checker has to refute."""

    name: str
    rules: R
    invariant: str
