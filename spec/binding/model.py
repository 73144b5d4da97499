"""Model of binding writes: one request id, two submissions, three attempts."""

from spec.binding import actions
from spec.binding.attempt import Attempt
from spec.binding.rules import Rules
from spec.binding.state import State
from spec.model import Model
from spec.mutant import Mutant
from spec.replicas.steps import INITIAL

IDLE = Attempt("idle", 0, 0)


def at_most_once(state: State) -> bool:
    """Check that no log holds the write twice."""
    return all(
        sum(entry.kind == actions.WRITE for entry in member.log) <= 1
        for member in state.members
    )


def acknowledged_durable(state: State) -> bool:
    """Check that every primary since the acknowledgement has the write."""
    return all(
        any(entry.kind == actions.WRITE for entry in member.log)
        for member in state.members
        if member.primary and state.acknowledged
        if member.promised >= state.acknowledged
    )


def not_run_is_true(state: State) -> bool:
    """Check that no attempt of a submission reported as not run runs."""
    return not any(
        refused and state.attempts[index].stage == "ran"
        for refused, indexes in zip(state.not_run, actions.SUBMISSIONS, strict=True)
        for index in indexes
    )


RULES = Rules()
ONCE, DURABLE, NOT_RUN = "at-most-once", "acknowledged-durable", "not-run-is-true"
MODEL = Model(
    name="binding",
    initial=State(INITIAL, (IDLE, IDLE, IDLE), 0, (False, False)),
    rules=RULES,
    actions=(
        actions.promote,
        actions.replicate,
        actions.send,
        actions.deliver,
        actions.acknowledge,
        actions.refuse,
    ),
    invariants={
        ONCE: at_most_once,
        DURABLE: acknowledged_durable,
        NOT_RUN: not_run_is_true,
    },
    mutants=(
        Mutant("record-not-looked-up", RULES._replace(look_up_record=False), ONCE),
        Mutant("record-not-replicated", RULES._replace(replicate_record=False), ONCE),
        Mutant("no-confirmation", RULES._replace(confirm_first_run=False), DURABLE),
        Mutant("replay-not-confirmed", RULES._replace(confirm_replay=False), DURABLE),
        Mutant(
            "last-refusal-decides",
            RULES._replace(all_attempts_refused=False),
            NOT_RUN,
        ),
        Mutant(
            "not-found-is-not-run",
            RULES._replace(not_found_is_unknown=False),
            NOT_RUN,
        ),
    ),
)
