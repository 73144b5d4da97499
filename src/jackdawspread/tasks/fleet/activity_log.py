"""Logs how often an instance calls the store, its peers and the members."""

from collections.abc import Iterator

from absl import logging
from prometheus_client import Counter
from trio import sleep

from jackdawspread.tasks.fleet.fleet_metrics import (
    DATAGRAMS,
    MEMBER_CONNECTIONS,
    MEMBER_LEASES,
    STORE_CALLS,
    TOKEN_REQUESTS,
)

LOG_INTERVAL_S = 10.0
COUNTER_BY_NAME = {
    "store_calls": STORE_CALLS,
    "datagrams": DATAGRAMS,
    "token_requests": TOKEN_REQUESTS,
    "member_connections": MEMBER_CONNECTIONS,
    "member_leases": MEMBER_LEASES,
}


class ActivityLog:
    """Logs the increase of some counters at a fixed interval.

    An incident is often examined from the logs alone, after the metrics are gone.
    """

    def __init__(self) -> None:
        self._value_by_sample: dict[tuple[str, str], float] = {}

    async def run(self) -> None:
        """Log until cancelled."""
        while True:
            await sleep(LOG_INTERVAL_S)
            increases = [self._increases(name) for name in COUNTER_BY_NAME]
            logging.info(
                "instance: activity interval_s=%g %s",
                LOG_INTERVAL_S,
                " ".join(increases),
            )

    def _increases(self, name: str) -> str:
        parts = []
        for labels, value in _samples(COUNTER_BY_NAME[name]):
            before = self._value_by_sample.get((name, labels), 0.0)
            self._value_by_sample[name, labels] = value
            if value > before:
                parts.append(f"{labels}:{value - before:.0f}")
        return f"{name}={','.join(parts) or 'none'}"


def _samples(counter: Counter) -> Iterator[tuple[str, float]]:
    for metric in counter.collect():
        for sample in metric.samples:
            if sample.name.endswith("_total"):
                yield "/".join(sample.labels.values()), sample.value
