"""Change of configuration by one operator."""

from typing import NamedTuple


class Change(NamedTuple):
    """Version that the change expects, -1 before it is sent, and what was reported.

    ``reported`` is empty, ``accepted`` or ``refused``; until then the answer is
    unknown and copies of the write may be in flight.
    """

    expected: int
    reported: str
