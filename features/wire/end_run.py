"""End of a run against processes."""

from features.wire.process_fleet import ProcessFleet

# Bounds a hang only. A request whose answer was lost may block a group for about 35 s.
PROGRESS_TIMEOUT_S = 90.0
ACKNOWLEDGED_AT_END = 30


def end_run(fleet: ProcessFleet) -> None:
    """End all link faults, wait for new commits, and check promotions and the log."""
    fleet.run(fleet.links.restore_all)
    fleet.wait(
        fleet.ledger.wait_for_acknowledged,
        ACKNOWLEDGED_AT_END,
        timeout_s=PROGRESS_TIMEOUT_S,
    )
    faults = fleet.finish()
    assert not faults, "\n".join([*faults, *fleet.log_lines("succession:", "acknow")])
