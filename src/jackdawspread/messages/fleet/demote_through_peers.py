"""Command to have other instances demote a primary."""

from typing import NamedTuple

from trio import MemorySendChannel

from jackdawspread.messages.fleet.log_status import LogStatus


class DemoteThroughPeers(NamedTuple):
    """Asks several instances to demote a primary.

    Parameters
    ----------
    group : str
        Member group.
    member : str
        Id of the primary.
    term : int
        Term of the demotion.
    addresses : tuple of str
        ``IP:port`` of each instance that is asked.
    expires_at : float
        Monotonic time in seconds after which the result is not awaited.
    reply_to : trio.MemorySendChannel
        Receives the log of the demoted primary, or None once all have refused.
    """

    group: str
    member: str
    term: int
    addresses: tuple[str, ...]
    expires_at: float
    reply_to: MemorySendChannel[LogStatus | None]
