"""Report that the stream to a pool host is open."""

from typing import NamedTuple

from trio import MemorySendChannel

from jackdawspread.messages.pool_hosts.host_link_event import HostLinkEvent


class HostLinkOpened(NamedTuple):
    """Gives the inbox of the stream to the pool host."""

    instance: str
    link: MemorySendChannel[HostLinkEvent]
