"""Results of several load processes together."""

from typing import NamedTuple

from hdrh.histogram import HdrHistogram


class WorkerTotal(NamedTuple):
    """Answered calls per second, failed calls, and all latencies."""

    rate: float
    failed: int
    histogram: HdrHistogram
