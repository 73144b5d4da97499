"""Effect: the primary is suspected."""

from typing import NamedTuple


class PrimarySuspected(NamedTuple):
    """Report the first missed probe of the primary."""

    address: str
