"""Routed request to be sent to a peer."""

from typing import NamedTuple

from jackdawspread.messages.routed_submission import RoutedSubmission


class ForwardRequest(NamedTuple):
    """Asks the peer hub to forward a request to a seat holder.

    The hub refuses it with ``peer_unreachable`` when the peer is not connected
    (NOT_RUN) or disconnects before it replies (UNKNOWN).
    """

    peer_address: str
    submission: RoutedSubmission
