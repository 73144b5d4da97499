"""Report that a pool host leases no more connections over its stream."""

from typing import NamedTuple


class HostLinkClosed(NamedTuple):
    """Reports that the stream is lost or could not be opened, or the host drains.

    Parameters
    ----------
    instance : str
        Id of the pool host.
    retry_after_s : float
        Seconds after which a new stream may be opened.
    reason : str
        What was observed, for the log.
    """

    instance: str
    retry_after_s: float
    reason: str
