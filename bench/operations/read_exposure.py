"""A broker reads the exposure to a buyer; old data are good enough."""

from typing import NamedTuple


class ReadExposure(NamedTuple):
    """A broker reads the exposure to a buyer; old data are good enough."""

    buyer: str
    max_staleness_ms: int
