"""The configuration names another number of synchronous replicas."""

from typing import NamedTuple


class ChangeSyncReplicas(NamedTuple):
    """The configuration names another number of synchronous replicas."""

    sync_replicas: int
