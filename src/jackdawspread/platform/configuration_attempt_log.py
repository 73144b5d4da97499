"""Logs and counts the attempts to get the configuration from the platform's store."""

from absl import logging

from jackdawspread.messages.fleet.configuration_way import ConfigurationWay
from jackdawspread.messages.http_outcome import HttpOutcome
from jackdawspread.platform.store_rows import newest_version, store_time_s
from jackdawspread.tasks.boot_clock import seconds_since_boot
from jackdawspread.tasks.fleet.fleet_metrics import (
    CONFIGURATION_BYTES,
    CONFIGURATION_TRANSFERS,
)


def log_attempt(way: ConfigurationWay, begun_at: float, outcome: HttpOutcome) -> None:
    """Log the outcome of a call to the store.

    Parameters
    ----------
    way : ConfigurationWay
        Kind of the call.
    begun_at : float
        Boot-time clock in seconds at which the call was made.
    outcome : HttpOutcome
        Its outcome.
    """
    result = outcome.error or f"status {outcome.status}"
    _count(way, "failed" if outcome.error else str(outcome.status), outcome)
    now = seconds_since_boot()
    first_byte_at = outcome.began_at or now
    logging.info(
        "configuration: call ended way=%s result=%r bytes=%d wait_ms=%d "
        "transfer_ms=%d store_version=%d store_ms=%d",
        way.value,
        result,
        outcome.received_bytes,
        1000 * (first_byte_at - begun_at),
        1000 * (now - first_byte_at),
        newest_version(outcome.body),
        1000 * store_time_s(outcome.body),
    )


def log_cancelled(way: ConfigurationWay, begun_at: float) -> None:
    """Log a call that this instance has ended before its answer began to arrive."""
    CONFIGURATION_TRANSFERS.labels(way.value, "cancelled").inc()
    logging.info(
        "configuration: call cancelled way=%s after_ms=%d",
        way.value,
        1000 * (seconds_since_boot() - begun_at),
    )


def _count(way: ConfigurationWay, result: str, outcome: HttpOutcome) -> None:
    CONFIGURATION_TRANSFERS.labels(way.value, result).inc()
    CONFIGURATION_BYTES.labels(way.value, result).inc(outcome.received_bytes)
