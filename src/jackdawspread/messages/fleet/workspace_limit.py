"""Rate limit of a workspace."""

from typing import NamedTuple


class WorkspaceLimit(NamedTuple):
    """Operations that a workspace may start at all instances together."""

    workspace: str
    rate_per_s: float
    burst: float
