"""Models of a replica that starts again without its log, under its id."""

from spec.acknowledgement.attempt import FAILOVER
from spec.acknowledgement.instance import Instance
from spec.acknowledgement.model import INITIAL, KEPT, MODEL
from spec.acknowledgement.unlisted import ACTIONS_WITH_PERMIT, BOUNDS
from spec.mutant import Mutant

RULES = BOUNDS._replace(
    kinds=(FAILOVER,), max_restarts=1, all_confirm=True, check_acknowledged=True
)
MODEL_RESTART = MODEL._replace(
    name="acknowledgement-restart",
    rules=RULES,
    initial=INITIAL._replace(instances=(Instance(), Instance())),
    actions=ACTIONS_WITH_PERMIT,
    mutants=(
        Mutant("acknowledged-ignored", RULES._replace(check_acknowledged=False), KEPT),
        Mutant(
            "demoted-not-awaited",
            RULES._replace(await_fence_when_demoted=False),
            KEPT,
        ),
        Mutant(
            "positions-of-one-instance", RULES._replace(positions_of_all=False), KEPT
        ),
    ),
)

TWO_COMMITS = RULES._replace(
    max_commits=2,
    max_written_term=1,
    other_writes=True,
    certain_is_exact=True,
    fall_back_at_once=True,
)
MODEL_RESTART_COMMITS = MODEL_RESTART._replace(
    name="acknowledgement-restart-commits",
    rules=TWO_COMMITS,
    initial=INITIAL,
    mutants=(
        Mutant("certain-too-low", TWO_COMMITS._replace(certain_is_exact=False), KEPT),
    ),
)
