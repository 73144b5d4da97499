"""Model of the positions up to which instances know all changes."""

from spec.copies import actions
from spec.copies.instance import STARTED
from spec.copies.rules import Rules
from spec.copies.state import State
from spec.model import Model
from spec.mutant import Mutant


def sort_instances(state: State) -> State:
    """Return the state with the instances in order, as none is special."""
    return state._replace(instances=tuple(sorted(state.instances)))


def positions_are_true(state: State) -> bool:
    """Check that an instance has every change up to its position."""
    return all(
        knows(state, instance.configuration, instance.evacuations, instance.position)
        for instance in state.instances
    )


def feeds_miss_nothing(state: State) -> bool:
    """Check that a reader has every change that the store won't report to it."""
    return all(
        knows(state, instance.configuration, instance.evacuations, instance.feed)
        for instance in state.instances
        if instance.reads
    )


def knows(state: State, configuration: int, evacuations: int, position: int) -> bool:
    """Return whether both rows are the stored ones, if written by a position."""
    has_configuration = (
        state.configuration > position or configuration == state.configuration
    )
    has_evacuations = state.evacuations > position or evacuations == state.evacuations
    return has_configuration and has_evacuations


RULES = Rules()
POSITIONS, FEEDS = "positions-are-true", "feeds-miss-nothing"
MODEL = Model(
    name="copies",
    initial=State(1, 1, 1, (STARTED, STARTED), None, None),
    rules=RULES,
    actions=(
        actions.write,
        actions.read_store,
        actions.stop_reading,
        actions.begin_reading,
        actions.send_digest,
        actions.receive_digest,
        actions.send_copy,
        actions.receive_copy,
        actions.restart,
    ),
    invariants={POSITIONS: positions_are_true, FEEDS: feeds_miss_nothing},
    canonical=sort_instances,
    mutants=(
        Mutant(
            "digest-of-another-configuration",
            RULES._replace(digest_confirms_equal_configuration_only=False),
            POSITIONS,
        ),
        Mutant(
            "digest-of-other-evacuations",
            RULES._replace(digest_confirms_equal_evacuations_only=False),
            POSITIONS,
        ),
        Mutant(
            "older-copy",
            RULES._replace(older_copies_are_ignored=False),
            POSITIONS,
        ),
        Mutant(
            "reading-begins-now",
            RULES._replace(reading_begins_at_what_is_held=False),
            FEEDS,
        ),
    ),
)
