"""Query for the instances that are asked to demote a primary."""

from typing import NamedTuple

from trio import MemorySendChannel


class AskedInstancesQuery(NamedTuple):
    """Asks which other instances may reach the primary of a group.

    Parameters
    ----------
    group : str
        Member group.
    reply_to : trio.MemorySendChannel
        Receives ``IP:port`` of each chosen instance.
    """

    group: str
    reply_to: MemorySendChannel[tuple[str, ...]]
