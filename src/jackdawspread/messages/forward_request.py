"""Request to forward a routed request to a peer."""

from typing import NamedTuple

from jackdawspread.messages.routed_submission import RoutedSubmission


class ForwardRequest(NamedTuple):
    """Asks the peer client to forward a request to an owner on another instance.

    The peer client refuses it with ``peer_unreachable`` if the peer is not connected
    (NOT_RUN) or disconnects before it replies (UNKNOWN).
    """

    peer_address: str
    submission: RoutedSubmission
