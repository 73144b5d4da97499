"""Model of configuration: concurrent operators, pushes and restarts."""

from spec.configuration import actions
from spec.configuration.change import Change
from spec.configuration.instance import Instance
from spec.configuration.rules import Rules
from spec.configuration.state import State
from spec.model import Model
from spec.mutant import Mutant

INSTANCE = Instance(1, 0, True, 1)
CHANGE = Change(-1, "")


def one_preset_per_version(state: State) -> bool:
    """Check that an instance that serves a version applies its stored preset."""
    return all(
        state.row[instance.version - 1 : instance.version] == (instance.preset,)
        for instance in state.instances
        if instance.serving
    )


def versions_never_decrease(state: State) -> bool:
    """Check that no address serves a lower version than before."""
    return all(
        instance.version >= instance.highest
        for instance in state.instances
        if instance.serving
    )


def reported_truly(state: State) -> bool:
    """Check that the row's history has the accepted changes and no refused ones."""
    return all(
        (number in state.row) == (change.reported == "accepted")
        for number, change in enumerate(state.changes, 1)
        if change.reported
    )


RULES = Rules()
ONE, BACK, TRUE = "one-preset-per-version", "no-going-back", "reported-truly"
MODEL = Model(
    name="configuration",
    initial=State((0,), (CHANGE,) * 3, (INSTANCE,) * 2),
    rules=RULES,
    actions=(
        actions.submit,
        actions.write,
        actions.answer,
        actions.read_back,
        actions.push,
        actions.poll,
        actions.restart,
    ),
    invariants={
        ONE: one_preset_per_version,
        BACK: versions_never_decrease,
        TRUE: reported_truly,
    },
    mutants=(
        Mutant("write-unconditionally", RULES._replace(compare_and_set=False), ONE),
        Mutant(
            "push-before-acceptance", RULES._replace(push_after_acceptance=False), ONE
        ),
        Mutant(
            "lower-version-applied", RULES._replace(ignore_lower_version=False), BACK
        ),
        Mutant(
            "restart-serves-a-push",
            RULES._replace(restart_reads_platform=False),
            BACK,
        ),
        Mutant(
            "row-with-last-write-id-only",
            RULES._replace(row_keeps_write_ids=False),
            TRUE,
        ),
        Mutant(
            "undecided-is-refused",
            RULES._replace(undecided_is_not_refused=False),
            TRUE,
        ),
        Mutant(
            "conflict-of-a-repeat-trusted",
            RULES._replace(conflict_is_read_back=False),
            TRUE,
        ),
    ),
)
