"""State of the model of the view."""

from typing import NamedTuple

from spec.view.instance import Instance


class State(NamedTuple):
    """Epoch in the platform's row, promises collected to change it, and instances."""

    epoch: int
    promises: int
    instances: tuple[Instance, ...]
