"""Plan of a random run."""

from random import Random

from features.wire.fault_mix import FaultMix
from features.wire.fault_mixes import MIX_BY_NAME
from features.wire.fault_step import FaultStep
from features.wire.faults.fault import Fault
from features.wire.faults.join_replica import JoinReplica

MIN_DURATION_S, MAX_DURATION_S = 0.3, 6.0
PRIMARY_FAULT_SHARE = 0.4
JOIN_SHARE = 0.7


def plan_faults(
    seed: int, seconds: float, mix: FaultMix = MIX_BY_NAME["recorded"]
) -> tuple[FaultStep, ...]:
    """Return the faults of a run, which overlap; the same for the same seed."""
    random = Random(seed)
    steps = []
    at_s = random.expovariate(1 / mix.interval_s)
    while at_s < seconds:
        duration_s = random.uniform(MIN_DURATION_S, MAX_DURATION_S)
        is_primary_fault = random.random() < PRIMARY_FAULT_SHARE
        fault = random.choice(mix.primary_faults if is_primary_fault else mix.faults)
        choices = random.random(), random.random()
        steps.append(FaultStep(at_s, fault, duration_s, *choices))
        if _leads_to_promotion(fault, mix) and random.random() < JOIN_SHARE:
            join = JoinReplica(at_request=True)
            steps.append(FaultStep(at_s, join, MAX_DURATION_S, *choices))
        at_s += random.expovariate(1 / mix.interval_s)
    return tuple(steps)


def _leads_to_promotion(fault: Fault, mix: FaultMix) -> bool:
    """Compare the types too, as named tuples of different types can be equal."""
    return any(
        type(fault) is type(other) and fault == other for other in mix.primary_faults
    )
