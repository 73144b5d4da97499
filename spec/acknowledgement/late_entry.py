"""Models of a replica that confirms commits while its entry in the list is late."""

from spec.acknowledgement.attempt import FAILOVER
from spec.acknowledgement.model import KEPT, MODEL
from spec.acknowledgement.unlisted import ACTIONS, ACTIONS_WITH_PERMIT, BOUNDS
from spec.mutant import Mutant

RULES = BOUNDS._replace(
    joins=True, late_entries=True, all_confirm=True, check_acknowledged=True
)
MODEL_LATE_ENTRY = MODEL._replace(
    name="acknowledgement-late-entry",
    rules=RULES,
    actions=ACTIONS,
    mutants=(
        Mutant("acknowledged-ignored", RULES._replace(check_acknowledged=False), KEPT),
        Mutant(
            "demoted-not-awaited",
            RULES._replace(await_fence_when_demoted=False),
            KEPT,
        ),
        Mutant("switchover-not-checked", RULES._replace(check_switchover=False), KEPT),
        Mutant(
            "positions-of-earlier-attempt",
            RULES._replace(positions_at_fence=False),
            KEPT,
        ),
        Mutant("silent-instance", RULES._replace(all_confirm=False), KEPT),
    ),
)

TWO_COMMITS = RULES._replace(
    kinds=(FAILOVER,), max_commits=2, max_written_term=1, other_writes=True
)
MODEL_LATE_ENTRY_COMMITS = MODEL_LATE_ENTRY._replace(
    name="acknowledgement-late-entry-commits",
    rules=TWO_COMMITS,
    actions=ACTIONS_WITH_PERMIT,
    mutants=(
        Mutant("certain-at-once", TWO_COMMITS._replace(fall_back_at_once=True), KEPT),
    ),
)
