"""Graph of the reachable states of a recovery model."""

from typing import Any, NamedTuple

from spec.recovery_model import RecoveryModel


class RecoveryGraph(NamedTuple):
    """States in the order in which they were found, the initial one first.

    ``origins`` are the state from which each was found and the label of the step.
    ``sources`` are the states with an allowed step to each, and ``recovering`` those
    with an allowed step that recovers. States are named by their indexes.
    """

    states: list[Any]
    origins: list[tuple[int, str]]
    sources: list[list[int]]
    recovering: set[int]


def explore(recovery: RecoveryModel[Any, Any], rules: Any) -> RecoveryGraph:
    """Return the graph of all reachable states."""
    model = recovery.model
    graph = RecoveryGraph([model.initial], [(0, "")], [[]], set())
    index_by_state = {model.initial: 0}
    for source, state in enumerate(graph.states):
        for action in model.actions:
            for arguments, following in action(state, rules):
                if model.canonical:
                    following = model.canonical(following)
                label = f"{action.__name__}({arguments})"
                target = index_by_state.setdefault(following, len(graph.states))
                if target == len(graph.states):
                    graph.states.append(following)
                    graph.origins.append((source, label))
                    graph.sources.append([])
                if recovery.is_allowed(label):
                    graph.sources[target].append(source)
                    if recovery.recovers(state, following):
                        graph.recovering.add(source)
    return graph


def find_recoverable(graph: RecoveryGraph) -> set[int]:
    """Return the states from which a step that recovers is reachable."""
    found = set(graph.recovering)
    pending = list(found)
    while pending:
        for source in graph.sources[pending.pop()]:
            if source not in found:
                found.add(source)
                pending.append(source)
    return found


def trace_to(graph: RecoveryGraph, index: int) -> list[str]:
    """Return the labels of the steps by which a state was found."""
    labels: list[str] = []
    while index:
        index, label = graph.origins[index]
        labels.insert(0, label)
    return labels
