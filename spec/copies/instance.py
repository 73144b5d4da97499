"""Instance in the model of copies."""

from typing import NamedTuple


class Instance(NamedTuple):
    """What an instance holds; rows are named by the version that wrote them.

    ``position`` is the version of the store up to which it knows all changes, and
    ``feed`` the one from which the store reports changes to it; 0 while it does not
    read.
    """

    configuration: int
    evacuations: int
    position: int
    feed: int
    reads: bool


STARTED = Instance(0, 0, 0, 0, True)
