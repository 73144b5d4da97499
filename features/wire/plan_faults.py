"""Plan of a random run."""

from random import Random

from features.wire.fault_kind import FaultKind
from features.wire.fault_step import FaultStep

INTERVAL_S = 1.0
MIN_DURATION_S, MAX_DURATION_S = 0.3, 6.0


def plan_faults(seed: int, seconds: float) -> tuple[FaultStep, ...]:
    """Return the faults of a run, which overlap; the same for the same seed."""
    random = Random(seed)
    kinds = tuple(FaultKind)
    steps = []
    at_s = random.expovariate(1 / INTERVAL_S)
    while at_s < seconds:
        duration_s = random.uniform(MIN_DURATION_S, MAX_DURATION_S)
        kind = random.choice(kinds)
        steps.append(
            FaultStep(at_s, kind, duration_s, random.random(), random.random())
        )
        at_s += random.expovariate(1 / INTERVAL_S)
    return tuple(steps)
