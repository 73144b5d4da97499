"""Progress of a run."""

from collections.abc import Callable
from itertools import count

from trio import sleep_until

from bench.faults.applied_fault import AppliedFault
from bench.load.latency import make_histogram, percentile_ms
from bench.load.load_run import LoadRun
from bench.load.outcome import Outcome


async def show_progress(
    load: LoadRun, faults: list[AppliedFault], show: Callable[[str], None]
) -> None:
    """Show one line a second until cancelled."""
    seen = 0
    for second in count(1):
        await sleep_until(load.start + second)
        records = load.ledger.records[seen:]
        seen += len(records)
        counts = load.ledger.count_by_outcome
        done = [r for r in records if r.outcome is Outcome.ACKNOWLEDGED]
        p99 = percentile_ms(make_histogram(r.finished - r.due for r in done), 99)
        show(
            f"{second:5.1f} s  sent {load.sent}, acknowledged "
            f"{counts[Outcome.ACKNOWLEDGED]}, refused {counts[Outcome.REFUSED]}, "
            f"unknown {counts[Outcome.UNKNOWN]}, p99 of this second {p99:.1f} ms, "
            f"faults {len(faults)}"
        )
