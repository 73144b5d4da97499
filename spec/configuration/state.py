"""State of the configuration model."""

from typing import NamedTuple

from spec.configuration.change import Change
from spec.configuration.instance import Instance


class State(NamedTuple):
    """Write ids by version in the platform's row, changes and instances.

    The write id of a change also names the preset that it sets.
    """

    row: tuple[int, ...]
    changes: tuple[Change, ...]
    instances: tuple[Instance, ...]
