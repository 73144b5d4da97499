"""Effect: admit a request."""

from typing import NamedTuple


class AdmitRequest(NamedTuple):
    """Admits a request; ``source`` is ``"own"`` or ``"borrowed"``."""

    id: str
    source: str
