"""Runs one check with minicheck."""

import time
from collections.abc import Callable, Iterator
from functools import singledispatch
from typing import Any

from minicheck import check_safety

from spec.check import Check
from spec.counterexample_found import CounterexampleFound
from spec.model import Model
from spec.mutant import Mutant
from spec.outcome import Outcome
from spec.recovery_model import RecoveryModel
from spec.recovery_runner import run_recovery
from spec.state_protocol import StateProtocol

Transitions = Callable[[Any], Iterator[tuple[str, Any]]]


def successors(
    model: Model[Any, Any], rules: Any, depths: dict[Any, int]
) -> Transitions:
    """Return the transition function; it records the depth of each state."""

    def transitions(state: Any) -> Iterator[tuple[str, Any]]:
        depth = depths[state] + 1
        for action in model.actions:
            for arguments, following in action(state, rules):
                if model.canonical:
                    following = model.canonical(following)
                if following != state:
                    depths.setdefault(following, depth)
                    yield f"{action.__name__}({arguments})", following

    depths[model.initial] = 0
    return transitions


def run_model(model: Model[Any, Any]) -> Outcome:
    """Check every invariant of the model as designed over all its states."""
    depths: dict[Any, int] = {}
    started = time.monotonic()
    transitions = successors(model, model.rules, depths)
    protocol = StateProtocol(
        model.name, False, (), model.initial, transitions, model.invariants
    )
    report = check_safety(protocol, max_states=model.max_states)
    seconds = time.monotonic() - started
    exhaustive = report["exhaustive"]
    lines = [
        f"model {model.name}: states={report['reachable_states']}"
        f" depth={max(depths.values())} exhaustive={exhaustive} seconds={seconds:.1f}"
    ]
    passed = exhaustive
    for name, found in report["properties"].items():
        passed = passed and found["holds"] is True
        lines.append(f"  invariant {name}: holds={found['holds']}")
        lines += trace_lines(found["counterexample"])
    return Outcome(passed, tuple(lines))


def run_mutant(model: Model[Any, Any], mutant: Mutant[Any]) -> Outcome:
    """Search for the shortest counterexample of a mutant."""
    found = False

    def holds(state: Any) -> bool:
        nonlocal found
        found = found or not model.invariants[mutant.invariant](state)
        return not found

    def transitions(state: Any) -> Iterator[tuple[str, Any]]:
        if found:
            raise CounterexampleFound(mutant.name)
        for action in model.actions:
            for arguments, following in action(state, mutant.rules):
                yield f"{action.__name__}({arguments})", following

    protocol = StateProtocol(
        mutant.name, False, (), model.initial, transitions, {mutant.invariant: holds}
    )
    report = check_safety(protocol, max_states=model.max_states)
    trace = report["properties"][mutant.invariant]["counterexample"]
    verdict = f"refuted in {len(trace) - 1} actions" if trace else "NOT REFUTED"
    line = f"mutant {model.name}/{mutant.name}: {mutant.invariant} {verdict}"
    return Outcome(trace is not None, (line, *trace_lines(trace)))


def trace_lines(trace: list[dict[str, Any]] | None) -> list[str]:
    """Return the actions of a counterexample, one line each."""
    return [f"    {step['label']}" for step in trace or [] if step["label"]]


def run_check(check: Check) -> Outcome:
    """Run a model or a mutant."""
    return _run(check.model, check.mutant)


@singledispatch
def _run(model: object, mutant: Mutant[Any] | None) -> Outcome:
    raise TypeError(f"no check of {type(model).__name__}")


@_run.register
def _(model: Model, mutant: Mutant[Any] | None) -> Outcome:
    return run_mutant(model, mutant) if mutant else run_model(model)


@_run.register
def _(model: RecoveryModel, mutant: Mutant[Any] | None) -> Outcome:
    return run_recovery(model, mutant)
