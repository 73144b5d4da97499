"""Model of the acknowledgements while a promotion may take effect."""

from spec.acknowledgement import attempts, commits, members
from spec.acknowledgement.attempt import IDLE
from spec.acknowledgement.instance import NONE, Instance
from spec.acknowledgement.rules import Rules
from spec.acknowledgement.state import State
from spec.acknowledgement.symmetry import canonical
from spec.model import Model
from spec.mutant import Mutant


def acknowledged_kept(state: State) -> bool:
    """Check that the log of the member that leads has every acknowledged commit."""
    if not state.leads:
        return True
    return all(entry in state.logs[state.primary] for entry in state.acknowledged)


RULES = Rules()
KEPT = "acknowledged-kept"
INITIAL = State(
    logs=((), (), (), ()),
    present=(True, True, True, False),
    roster=(True, True, True, False),
    primary=0,
    leads=True,
    term=1,
    departures=0,
    token=0,
    is_free=True,
    is_suspended=False,
    outstanding=0,
    ordered=NONE,
    attempt=IDLE,
    calls=(),
    highest_token=0,
    instances=(Instance(),),
    acknowledged=(),
)
MODEL = Model(
    name="acknowledgement",
    initial=INITIAL,
    rules=RULES,
    actions=(
        commits.write,
        members.receive,
        commits.answer,
        commits.decide,
        commits.verify,
        commits.read_evidence,
        commits.hear,
        commits.lose_permit,
        members.join,
        members.enlist,
        members.depart,
        members.demote,
        attempts.acquire,
        attempts.fence,
        attempts.compare,
        attempts.read_end,
        attempts.catch_up,
        attempts.check_primary,
        attempts.request,
        members.accept,
        members.execute,
        attempts.end_with_effect,
        attempts.end_with_refusal,
        attempts.end_without_request,
        attempts.expire,
    ),
    invariants={KEPT: acknowledged_kept},
    mutants=(
        Mutant("outstanding-ignored", RULES._replace(check_outstanding=False), KEPT),
        Mutant(
            "own-request-hides-earlier",
            RULES._replace(verify_at_others_than_requested=False),
            KEPT,
        ),
        Mutant(
            "suspension-not-a-change",
            RULES._replace(suspension_is_change=False),
            KEPT,
        ),
        Mutant("answer-under-way", RULES._replace(verify_after_change=False), KEPT),
        Mutant("reinstated-primary", RULES._replace(verify_own_term=False), KEPT),
        Mutant("no-permit-needed", RULES._replace(verify_without_permit=False), KEPT),
        Mutant(
            "permit-by-announcement", RULES._replace(permit_needs_evidence=False), KEPT
        ),
        Mutant("failover-not-fenced", RULES._replace(fence_failover=False), KEPT),
        Mutant("switchover-not-fenced", RULES._replace(fence_switchover=False), KEPT),
        Mutant("withdrawal-not-fenced", RULES._replace(fence_withdrawal=False), KEPT),
        Mutant("permits-not-awaited", RULES._replace(await_permits=False), KEPT),
        Mutant(
            "fence-skipped-despite-requests",
            RULES._replace(skip_fence_despite_requests=True),
            KEPT,
        ),
        Mutant(
            "withdrawal-not-recorded", RULES._replace(record_withdrawal=False), KEPT
        ),
        Mutant(
            "primary-not-checked-after-fence",
            RULES._replace(check_primary_after_fence=False),
            KEPT,
        ),
        Mutant(
            "request-ended-before-effect", RULES._replace(end_needs_effect=False), KEPT
        ),
        Mutant("requests-ended-by-time", RULES._replace(keep_requests=False), KEPT),
        Mutant(
            "refusal-ends-earlier-request",
            RULES._replace(keep_earlier_at_refusal=False),
            KEPT,
        ),
        Mutant("write-after-expiry", RULES._replace(write_needs_lock=False), KEPT),
    ),
    canonical=canonical,
)

JOINING = RULES._replace(joins=True, max_tokens=1, max_term=2)
MODEL_JOIN = MODEL._replace(
    name="acknowledgement-join",
    rules=JOINING,
    mutants=(
        Mutant("list-of-before", JOINING._replace(lists_are_current=False), KEPT),
    ),
)

TWO_INSTANCES = RULES._replace(max_tokens=1, max_term=2)
MODEL_INSTANCES = MODEL._replace(
    name="acknowledgement-instances",
    rules=TWO_INSTANCES,
    initial=INITIAL._replace(instances=(Instance(), Instance())),
    mutants=(
        Mutant("position-of-any-term", TWO_INSTANCES._replace(verify_term=False), KEPT),
        Mutant(
            "permits-not-awaited", TWO_INSTANCES._replace(await_permits=False), KEPT
        ),
    ),
)
