"""Runs the check of a recovery model."""

import time
from typing import Any

from spec.mutant import Mutant
from spec.outcome import Outcome
from spec.recovery_graph import explore, find_recoverable, trace_to
from spec.recovery_model import RecoveryModel


def run_recovery(
    recovery: RecoveryModel[Any, Any], mutant: Mutant[Any] | None
) -> Outcome:
    """Search for a state that allows no recovery; a mutant must have one."""
    rules = mutant.rules if mutant else recovery.model.rules
    started = time.monotonic()
    graph = explore(recovery, rules)
    needing = [
        index
        for index, state in enumerate(graph.states)
        if recovery.needs_recovery(state, rules)
    ]
    recoverable = find_recoverable(graph)
    stuck = [index for index in needing if index not in recoverable]
    trace = (
        tuple(f"    {label}" for label in trace_to(graph, stuck[0])) if stuck else ()
    )
    if mutant:
        verdict = f"refuted in {len(trace)} actions" if stuck else "NOT REFUTED"
        line = f"mutant {recovery.name}/{mutant.name}: {mutant.invariant} {verdict}"
        return Outcome(bool(stuck), (line, *trace))
    seconds = time.monotonic() - started
    lines = (
        f"model {recovery.name}: states={len(graph.states)}"
        f" needing={len(needing)} seconds={seconds:.1f}",
        f"  recovery {recovery.property_name}: holds={not stuck}",
    )
    # Without a state that needs a recovery the check would show nothing.
    return Outcome(bool(needing) and not stuck, (*lines, *trace))
