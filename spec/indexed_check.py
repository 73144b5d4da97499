"""Check that a process of the pool finds by its numbers."""

from typing import NamedTuple

from spec.catalogue import MODELS
from spec.check import Check
from spec.outcome import Outcome
from spec.runner import run_check


class IndexedCheck(NamedTuple):
    """Numbers of a model and of its mutant, None for the model itself."""

    model: int
    mutant: int | None

    def run(self) -> Outcome:
        """Run the check."""
        model = MODELS[self.model]
        mutant = None if self.mutant is None else model.mutants[self.mutant]
        return run_check(Check(model, mutant))
