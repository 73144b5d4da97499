"""Effect: admit a request."""

from typing import NamedTuple


class AdmitRequest(NamedTuple):
    """Admits a request with a token of this instance or of a peer.

    ``source`` is ``"own"`` or ``"borrowed"``.
    """

    id: str
    source: str
