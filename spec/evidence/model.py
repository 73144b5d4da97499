"""Model of the evidence for a promotion."""

from spec.evidence import actions
from spec.evidence.rules import Rules
from spec.evidence.state import State
from spec.model import Model
from spec.mutant import Mutant


def replaced_primary(state: State) -> bool:
    """Check that the log of the primary has every acknowledged entry."""
    primary = state.primary
    if not state.present[primary]:
        return True
    return all(entry in state.logs[primary] for entry in state.acknowledged)


def can_pause(state: State) -> bool:
    """Check that no group is left whose replicas can't be paused any more."""
    return not state.is_stuck


RULES = Rules()
KEPT = "replaced-primary"
MODEL = Model(
    name="promotion-evidence",
    initial=State(
        logs=((), (), (), ()),
        present=(True, True, True, False),
        roster=(True, True, True, False),
        primary=0,
        leads=True,
        is_dark=False,
        term=1,
        paused=(False,) * 4,
        fenced=-1,
        ordered=-1,
        snapshot=-1,
        departures=0,
        acknowledged=(),
        is_stuck=False,
    ),
    rules=RULES,
    actions=(
        actions.write,
        actions.receive,
        actions.acknowledge,
        actions.depart,
        actions.join,
        actions.go_dark,
        actions.record,
        actions.read_primary,
        actions.clear,
        actions.pause,
        actions.resume,
        actions.fence,
        actions.order,
        actions.promote,
    ),
    invariants={KEPT: replaced_primary, "can-pause": can_pause},
    mutants=(
        Mutant("departed-ignored", RULES._replace(count_departed=False), KEPT),
        Mutant("departed-not-covered", RULES._replace(cover_departed=False), KEPT),
        Mutant("primary-not-fenced", RULES._replace(fence_primary=False), KEPT),
        Mutant("joined-ignored", RULES._replace(list_after_pauses=False), KEPT),
        Mutant("two-uncovered", RULES._replace(max_uncovered=2), KEPT),
        Mutant("term-not-raised", RULES._replace(raise_pause_term=False), "can-pause"),
    ),
)
