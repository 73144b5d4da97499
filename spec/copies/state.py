"""State of the model of copies between instances."""

from typing import NamedTuple

from spec.copies.instance import Instance


class State(NamedTuple):
    """Rows of the store, instances, and a digest and a copy on their way.

    ``version`` is the newest version of the store. The digest and the copy are what
    their sender held when it sent them.
    """

    configuration: int
    evacuations: int
    version: int
    instances: tuple[Instance, ...]
    digest: Instance | None
    copy: Instance | None
