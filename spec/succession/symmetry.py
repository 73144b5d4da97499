"""Merges states that differ only by the names of members and instances."""

from itertools import permutations

from spec.succession.actions import MEMBERS
from spec.succession.attempt import Attempt
from spec.succession.state import State

Names = tuple[int, ...]


def canonical(state: State) -> State:
    """Return the least of the states that renaming yields."""
    return min(_renamed(state, names) for names in permutations(MEMBERS))


def _renamed(state: State, names: Names) -> State:
    """Return the state in which each member ``m`` is called ``names[m]``."""
    order = [names.index(member) for member in MEMBERS]
    attempts = tuple(sorted(_renamed_attempt(a, names, order) for a in state.attempts))
    return state._replace(
        logs=tuple(state.logs[m] for m in order),
        primary=names[state.primary],
        paused=tuple(state.paused[m] for m in order),
        attempts=attempts,
        duty_outstanding=tuple(names[m] for m in state.duty_outstanding),
        orders=tuple(sorted((token, names[m]) for token, m in state.orders)),
    )


def _renamed_attempt(attempt: Attempt, names: Names, order: list[int]) -> Attempt:
    if not attempt.token:
        return attempt
    return attempt._replace(
        former=names[attempt.former] if attempt.former >= 0 else attempt.former,
        named=tuple(names[m] for m in attempt.named),
        outstanding=tuple(names[m] for m in attempt.outstanding),
        seen=tuple(attempt.seen[m] for m in order),
    )
