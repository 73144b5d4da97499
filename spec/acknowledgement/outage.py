"""Model of a replica that joins while the store is away.

Instances may be silent, so their positions are not used.
"""

from spec.acknowledgement.attempt import FAILOVER
from spec.acknowledgement.model import INITIAL, KEPT, MODEL
from spec.acknowledgement.state import AWAY
from spec.acknowledgement.unlisted import ACTIONS, BOUNDS
from spec.mutant import Mutant

RULES = BOUNDS._replace(kinds=(FAILOVER,), joins=True, count_unlisted=True)
MODEL_OUTAGE = MODEL._replace(
    name="acknowledgement-outage",
    rules=RULES,
    initial=INITIAL._replace(store=AWAY),
    actions=ACTIONS,
    mutants=(
        Mutant("outage-ignored", RULES._replace(count_unlisted=False), KEPT),
        Mutant(
            "demoted-not-counted",
            RULES._replace(count_unlisted_when_demoted=False),
            KEPT,
        ),
        Mutant(
            "replica-gone-before-listed",
            RULES._replace(max_departures=1, unlisted_departs=True),
            KEPT,
        ),
    ),
)
