"""A preset as stored in the configuration."""

from typing import TypedDict


class PresetDocument(TypedDict):
    """Policy that operators switch as a whole.

    ``queue_limit`` is the number of requests that one workspace may have queued
    at a database, ``queue_wait_ms`` how long a request may be queued,
    ``retry_percent`` the share of requests that may be retried.
    """

    queue_limit: int
    queue_wait_ms: int
    replica_reads: bool
    retry_percent: int
    writes_allowed: bool
