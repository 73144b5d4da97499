"""Preset as stored in the configuration."""

from typing import TypedDict


class PresetDocument(TypedDict):
    """Set of policies that operators select together.

    ``queue_limit`` is the number of requests that one workspace may have queued at a
    database, ``queue_wait_ms`` is the longest time that a request may be queued, and
    ``retry_percent`` is the percentage of requests that may be retried.
    """

    queue_limit: int
    queue_wait_ms: int
    replica_reads: bool
    retry_percent: int
    writes_allowed: bool
