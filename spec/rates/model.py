"""Model of rate spending between instances."""

from spec.model import Model
from spec.mutant import Mutant
from spec.rates import actions
from spec.rates.rules import Rules
from spec.rates.state import State


def rate_and_burst(state: State) -> bool:
    """Check that no window admits more than the burst and the rate allow."""
    return state.admitted <= actions.BURST


RULES = Rules()
WINDOW = "rate-and-burst"
MODEL = Model(
    name="rates",
    initial=State(
        (actions.SHARE_OF_BURST,) * actions.INSTANCES,
        (actions.FREE,) * actions.GRANTS,
        0,
    ),
    rules=RULES,
    actions=(
        actions.admit,
        actions.ask,
        actions.grant_spend,
        actions.use_grant,
        actions.tick,
    ),
    invariants={WINDOW: rate_and_burst},
    mutants=(
        Mutant("granter-not-debited", RULES._replace(debit_granter=False), WINDOW),
        Mutant("grant-not-counted", RULES._replace(count_against_cap=False), WINDOW),
        Mutant("grant-used-twice", RULES._replace(use_grant_once=False), WINDOW),
        Mutant("late-grant-used", RULES._replace(discard_late_grant=False), WINDOW),
        Mutant(
            "grant-counted-too-briefly", RULES._replace(count_grant_ticks=1), WINDOW
        ),
    ),
)
