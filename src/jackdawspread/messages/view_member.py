"""Member of a view."""

from typing import NamedTuple


class ViewMember(NamedTuple):
    """Peer address (``IP:port``) and failure domain of an instance."""

    peer_address: str
    failure_domain: str
