"""Recovery of a group whose attempt has fenced acknowledgements."""

from spec.acknowledgement.comparison import end_of, listed_replicas
from spec.acknowledgement.late_entry import MODEL_LATE_ENTRY_COMMITS, TWO_COMMITS
from spec.acknowledgement.rules import Rules
from spec.acknowledgement.state import State
from spec.mutant import Mutant
from spec.recovery_model import RecoveryModel

PROMOTES = "promotes"
# A commit of others, not a replica that joins, makes the shown position too high.
SCOPE = TWO_COMMITS._replace(joins=False)
STEPS = ("compare(", "request(", "execute(")


def needs_promotion(state: State, rules: Rules) -> bool:
    """Return whether a fenced attempt finds every acknowledged commit at a replica."""
    attempt = state.attempt
    if not attempt.is_fenced or attempt.target >= 0 or state.term == rules.max_term:
        return False
    newest = max((state.logs[m] for m in listed_replicas(state)), key=end_of)
    return all(entry in newest for entry in state.acknowledged)


def is_without_primary(label: str) -> bool:
    """Return whether a step needs nothing of the former primary."""
    return label.startswith(STEPS)


def promotes(state: State, following: State) -> bool:
    """Return whether a step promotes a member."""
    return following.term > state.term


MODEL_LATE_ENTRY_RECOVERY = RecoveryModel(
    name="acknowledgement-late-entry-recovery",
    model=MODEL_LATE_ENTRY_COMMITS._replace(rules=SCOPE),
    property_name=PROMOTES,
    needs_recovery=needs_promotion,
    is_allowed=is_without_primary,
    recovers=promotes,
    mutants=(Mutant("shown-for-ever", SCOPE._replace(falls_back=False), PROMOTES),),
)
