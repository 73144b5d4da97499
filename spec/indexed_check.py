"""Check that a worker process finds by its indexes."""

from typing import NamedTuple

from spec.catalogue import MODELS
from spec.check import Check
from spec.outcome import Outcome
from spec.runner import run_check


class IndexedCheck(NamedTuple):
    """Indexes of a model and of its mutant, None for the model itself."""

    model: int
    mutant: int | None

    def run(self) -> Outcome:
        """Run the check."""
        model = MODELS[self.model]
        mutant = None if self.mutant is None else model.mutants[self.mutant]
        return run_check(Check(model, mutant))
