"""Model of the failover under a fencing token."""

from spec.model import Model
from spec.mutant import Mutant
from spec.succession import actions
from spec.succession.attempt import IDLE
from spec.succession.rules import Rules
from spec.succession.state import State
from spec.succession.symmetry import canonical


def replaced_primary(state: State) -> bool:
    """Check that the log of the primary has every acknowledged entry."""
    return all(entry in state.logs[state.primary] for entry in state.acknowledged)


RULES = Rules()
KEPT = "replaced-primary"
MODEL = Model(
    name="succession",
    initial=State(
        logs=((), (), ()),
        primary=0,
        leads=True,
        term=1,
        paused=(False, False, False),
        acknowledged=(),
        attempts=(IDLE, IDLE),
        duty_token=0,
        duty_is_free=True,
        duty_outstanding=(),
        orders=(),
        highest_token=0,
    ),
    rules=RULES,
    actions=(
        actions.write,
        actions.receive,
        actions.acknowledge,
        actions.expire_lock,
        actions.take_lock,
        actions.pause,
        actions.check,
        actions.demote,
        actions.repeat,
        actions.order,
        actions.end_request,
        actions.resume,
        actions.promote,
    ),
    invariants={KEPT: replaced_primary},
    mutants=(
        Mutant("one-replica-paused", RULES._replace(pause_all_replicas=False), KEPT),
        Mutant("pauses-not-checked", RULES._replace(check_pauses=False), KEPT),
        Mutant("any-replica-taken", RULES._replace(choose_most_advanced=False), KEPT),
        Mutant("orders-not-fenced", RULES._replace(fence_orders=False), KEPT),
        Mutant(
            "duty-freed-after-order",
            RULES._replace(keep_lock_after_order=False, prefer_ordered=False),
            KEPT,
        ),
        Mutant("earlier-order-ignored", RULES._replace(prefer_ordered=False), KEPT),
        Mutant(
            "all-resumed-after-request", RULES._replace(resume_ordered_only=False), KEPT
        ),
        Mutant("request-ended-before-effect", RULES._replace(await_effect=False), KEPT),
        Mutant("order-after-lapse", RULES._replace(stop_when_lock_expired=False), KEPT),
    ),
    canonical=canonical,
)

DEMOTING = RULES._replace(max_tokens=2, demotes=True)
MODEL_DEMOTION = MODEL._replace(
    name="succession-demotion",
    rules=DEMOTING,
    mutants=(),
)

CLAIMS = DEMOTING._replace(end_by_claim=True)
MODEL_CLAIM = MODEL_DEMOTION._replace(
    name="succession-claim",
    rules=CLAIMS,
    mutants=(
        Mutant(
            "requested-primary-demoted",
            CLAIMS._replace(keep_requested_primary=False),
            KEPT,
        ),
    ),
)
