"""Model of session tokens over changes of primary."""

from spec.model import Model
from spec.mutant import Mutant
from spec.replicas.steps import INITIAL
from spec.session import actions
from spec.session.rules import Rules
from spec.session.state import State


def read_your_writes(state: State) -> bool:
    """Check that no read was served without the caller's acknowledged writes."""
    return not state.stale_read


def token_held(state: State) -> bool:
    """Check that the token never names a lost log entry."""
    return all(
        actions.contains(member, state.token, RULES)
        for member in state.members
        if member.primary and member.promised >= state.token_term
    )


RULES = Rules()
READ, HELD = "read-your-writes", "token-held"
MODEL = Model(
    name="session",
    initial=State(INITIAL, (0, 0), 0, (), False),
    rules=RULES,
    actions=(
        actions.promote,
        actions.replicate,
        actions.write,
        actions.acknowledge,
        actions.read,
        actions.read_advances,
    ),
    invariants={READ: read_your_writes, HELD: token_held},
    mutants=(
        Mutant("token-without-term", RULES._replace(token_names_term=False), READ),
        Mutant("token-not-checked", RULES._replace(member_checks_token=False), READ),
        Mutant(
            "no-confirmation",
            RULES._replace(confirm_before_acknowledging=False),
            HELD,
        ),
        Mutant(
            "read-advances-to-any-position",
            RULES._replace(reads_advance_to_confirmed_only=False),
            HELD,
        ),
    ),
)
