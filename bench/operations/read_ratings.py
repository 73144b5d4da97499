"""An underwriter reads ratings; old data are good enough."""

from typing import NamedTuple


class ReadRatings(NamedTuple):
    """An underwriter reads ratings; old data are good enough."""

    max_staleness_ms: int
