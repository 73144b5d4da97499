"""End of the search for a counterexample."""

from minicheck._core import SearchIncomplete


class CounterexampleFound(SearchIncomplete):  # type: ignore[misc]
    """Stops the sweep of a mutant once its invariant is refuted.

    minicheck would otherwise enumerate the rest of the mutant's states.
    """
