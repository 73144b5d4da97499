"""Latency percentiles."""

from collections.abc import Iterable

from hdrh.histogram import HdrHistogram

HIGHEST_US = 120_000_000
DIGITS = 3


def make_histogram(seconds: Iterable[float]) -> HdrHistogram:
    """Return a histogram, in microseconds, of latencies given in seconds."""
    histogram = HdrHistogram(1, HIGHEST_US, DIGITS)
    for value in seconds:
        histogram.record_value(min(max(int(value * 1e6), 1), HIGHEST_US))
    return histogram


def percentile_ms(histogram: HdrHistogram, percentile: float) -> float:
    """Return a percentile in milliseconds; 0 if nothing was recorded."""
    if not histogram.get_total_count():
        return 0.0
    return float(histogram.get_value_at_percentile(percentile) / 1000)
