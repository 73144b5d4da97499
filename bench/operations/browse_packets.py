"""A gardener browses packets; old data are good enough."""

from typing import NamedTuple


class BrowsePackets(NamedTuple):
    """A gardener browses packets; old data are good enough."""

    max_staleness_ms: int
