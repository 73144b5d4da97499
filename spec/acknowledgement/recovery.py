"""Recovery of a group whose primary leads while a request is outstanding."""

from spec.acknowledgement.attempt import FAILOVER, SWITCHOVER
from spec.acknowledgement.model import MODEL, RULES
from spec.acknowledgement.rules import Rules
from spec.acknowledgement.state import State
from spec.mutant import Mutant
from spec.recovery_model import RecoveryModel

ACKNOWLEDGES = "acknowledges-with-nothing-outstanding"
# Two terms keep the check at about 10 s.
SCOPE = RULES._replace(max_term=2)


def needs_withdrawal(state: State, rules: Rules) -> bool:
    """Return whether a request is outstanding and the bounds leave room to end it.

    That is a token for a withdrawal and a commit in the present term.
    """
    return (
        state.outstanding > 0
        and state.leads
        and state.token < rules.max_tokens
        and sum(entry // 10 == state.term for entry in state.logs[state.primary])
        < rules.max_commits
    )


def begins_no_promotion(label: str) -> bool:
    """Return whether a step is none that begins a failover or a switchover.

    The primary leads, so a withdrawal has to be enough.
    """
    return not label.startswith((f"acquire({FAILOVER}", f"acquire({SWITCHOVER}"))


def acknowledges(state: State, following: State) -> bool:
    """Return whether a step acknowledges a commit while no request is outstanding."""
    return (
        following.outstanding == 0
        and following.attempt == state.attempt
        and len(following.acknowledged) > len(state.acknowledged)
    )


MODEL_RECOVERY = RecoveryModel(
    name="acknowledgement-recovery",
    model=MODEL._replace(rules=SCOPE),
    property_name=ACKNOWLEDGES,
    needs_recovery=needs_withdrawal,
    is_allowed=begins_no_promotion,
    recovers=acknowledges,
    mutants=(
        Mutant(
            "no-withdrawal",
            SCOPE._replace(kinds=(FAILOVER, SWITCHOVER)),
            ACKNOWLEDGES,
        ),
    ),
)
