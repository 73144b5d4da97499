"""Withdrawal of a key under all partitions from the platform and the peers."""

from itertools import combinations_with_replacement

from features.fakes.control_fleet import ControlFleet
from features.fakes.withdrawn_check import check_withdrawn

from jackdawspread.messages.add_key import AddKey
from jackdawspread.messages.create_workspace import CreateWorkspace
from jackdawspread.messages.withdraw_key import WithdrawKey

NAMES = "abcd"
# What an instance is partitioned from. "b", "c" and "d" have the same role, so only
# the number of them with each partition is varied.
CUTS = ("", "platform", "peers", "platform peers")
SCHEDULES = tuple(
    (cut, *others)
    for cut in CUTS
    for others in combinations_with_replacement(CUTS, len(NAMES) - 1)
)


def check(fleet: ControlFleet) -> None:
    """Check every state of a schedule."""
    check_withdrawn(fleet, "k1")


def run_schedule(schedule: tuple[str, ...]) -> str:
    """Withdraw a key at "a" and return the reported state of the withdrawal."""
    fleet = ControlFleet(50)
    for name in NAMES:
        fleet.start(name)
    fleet.run(6)
    fleet.ask("b", CreateWorkspace("branch"), "workspace")
    fleet.ask("b", AddKey("k1", "branch"), "key")
    fleet.run(2)
    for name, cut in zip(NAMES, schedule, strict=True):
        if "platform" in cut:
            fleet.cut_from_platform.add(name)
        if "peers" in cut:
            fleet.cut_pairs |= {frozenset({name, other}) for other in NAMES}
    fleet.ask("a", WithdrawKey("k1"), "withdraw")
    fleet.run(8, check)
    return str(fleet.result_by_id["withdraw"].outcome.body["state"])


def check_withdrawal_cuts() -> None:
    """Run a withdrawal under all partitions."""
    states = [run_schedule(schedule) for schedule in SCHEDULES]
    # Without withdrawals that are reported in force, the check would test nothing.
    assert states.count("in_force") >= 16, states.count("in_force")
