"""Decisions on acknowledgements compared with the rule of the model for a commit."""

from collections.abc import Iterator
from itertools import product

from spec.acknowledgement.commits import WAIT, members_to_verify
from spec.acknowledgement.instance import NO_PERMIT, NONE, OLD_PERMIT, PERMIT, Instance
from spec.acknowledgement.members import MEMBERS, bit
from spec.acknowledgement.model import INITIAL, RULES
from spec.acknowledgement.state import State

from jackdawspread.decisions.acknowledgement.acknowledge_commit import AcknowledgeCommit
from jackdawspread.decisions.acknowledgement.decide_acknowledgement import (
    AcknowledgementDecision,
    decide_acknowledgement,
)
from jackdawspread.decisions.acknowledgement.group_view import GroupView
from jackdawspread.decisions.acknowledgement.verify_commit import VerifyCommit
from jackdawspread.decisions.acknowledgement.wait_for_state import WaitForState
from jackdawspread.messages.fleet.promotion_state import PromotionState

SENT_AT = 100.0
SETS = range(1 << len(MEMBERS))


def all_views() -> Iterator[tuple[State, Instance]]:
    """Yield each list of members with everything that an instance may know."""
    for roster, suspended, outstanding, ordered, permit, member, changed in product(
        SETS,
        (False, True),
        SETS,
        (NONE, *MEMBERS),
        (NO_PERMIT, OLD_PERMIT, PERMIT),
        MEMBERS,
        (False, True),
    ):
        listed = tuple(bool(roster & bit(m)) for m in MEMBERS)
        state = INITIAL._replace(roster=listed, present=listed)
        instance = Instance(
            token=1,
            is_suspended=suspended,
            outstanding=outstanding,
            ordered=ordered,
            permit=permit,
            entry=10,
            member=member,
            is_answered=True,
            is_changed=changed,
        )
        yield state, instance


def decide(state: State, instance: Instance) -> AcknowledgementDecision:
    """Return the decision of the code."""
    known = PromotionState(
        "g",
        epoch=1,
        version=1,
        token=instance.token,
        is_suspended=instance.is_suspended,
        outstanding=tuple(sorted(_names(instance.outstanding))),
        last_requested="" if instance.ordered == NONE else str(instance.ordered),
    )
    changed_at = SENT_AT if instance.is_changed else SENT_AT - 1.0
    return decide_acknowledgement(
        GroupView(known, changed_at),
        instance.permit != NO_PERMIT,
        str(instance.member),
        SENT_AT,
        frozenset(str(m) for m in MEMBERS if state.roster[m]),
    )


def expect(state: State, instance: Instance) -> AcknowledgementDecision:
    """Return what the model's rule says.

    The model also waits if it has to verify a commit and no other member is listed.
    """
    if instance.is_suspended:
        return WaitForState()
    members = members_to_verify(state, instance, RULES)
    if members == WAIT:
        return VerifyCommit(frozenset())
    return VerifyCommit(_names(members)) if members else AcknowledgeCommit()


def _names(members: int) -> frozenset[str]:
    return frozenset(str(m) for m in MEMBERS if members & bit(m))
