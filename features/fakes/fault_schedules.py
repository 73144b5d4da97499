"""Random schedules of faults over the control decisions."""

from features.fakes.control_fleet import CONNECTIONS, ControlFleet
from hypothesis import HealthCheck, given, seed, settings
from hypothesis import strategies as st

NAMES = "abcd"
FAULTS = ("kill", "start", "pause", "wake", "isolate", "cut", "lose", "down", "heal")
STEPS = st.lists(
    st.tuples(
        st.sampled_from(FAULTS),
        st.sampled_from(NAMES),
        st.sampled_from(NAMES),
        st.floats(0.05, 12.0),
    ),
    min_size=3,
    max_size=10,
)


def check_overlap(fleet: ControlFleet) -> None:
    """Check that shares and connections stay within their totals."""
    assert fleet.share_sum() <= 1 + 1e-9, fleet.share_sum()
    for database, connections in CONNECTIONS.items():
        held = fleet.connection_sum(database)
        assert held <= connections, (database, held)


def apply_fault(fleet: ControlFleet, fault: str, name: str, other: str) -> None:
    """Apply one fault of a schedule."""
    match fault:
        case "kill":
            fleet.kill(name)
        case "start" if name not in fleet.state_by_name:
            fleet.start(name)
        case "pause":
            fleet.pause(name)
        case "wake":
            fleet.wake(name)
        case "isolate":
            fleet.isolate(name)
        case "cut":
            fleet.cut_pairs.add(frozenset({name, other}))
        case "lose":
            fleet.losing_answers.add(name)
        case "down":
            fleet.platform.is_up = False
        case "heal":
            fleet.heal()


def check_recovery(fleet: ControlFleet) -> None:
    """Check that the fleet recovers after all faults have ended."""
    fleet.heal()
    for name in NAMES:
        fleet.wake(name)
        apply_fault(fleet, "start", name, name)
    fleet.run(40, check_overlap)
    for name, state in fleet.state_by_name.items():
        assert fleet.has_authority(name), name
        assert len(state.view.member_by_incarnation) == 4, (name, state.view)
        assert len(state.views) == 1, (name, state.views)
    for database, connections in CONNECTIONS.items():
        assert fleet.connection_sum(database) == connections, database


@seed(20250)
@settings(
    max_examples=40,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
@given(STEPS, st.integers(0, 2**16))
def check_random_schedules(
    steps: list[tuple[str, str, str, float]], random_seed: int
) -> None:
    """Run one schedule of faults, including the start of the fleet."""
    fleet = ControlFleet(random_seed)
    for name in NAMES:
        fleet.start(name)
    fleet.run(8, check_overlap)
    for fault, name, other, seconds in steps:
        apply_fault(fleet, fault, name, other)
        fleet.run(seconds, check_overlap)
    check_recovery(fleet)
