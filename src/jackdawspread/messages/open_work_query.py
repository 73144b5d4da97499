"""Query for the work in progress at an owner."""

from typing import NamedTuple

from trio import MemorySendChannel


class OpenWorkQuery(NamedTuple):
    """Asks an owner whether a transaction is open or a request runs or waits there.

    Parameters
    ----------
    reply_to : trio.MemorySendChannel
        Receives true while there is any; has room for the reply.
    """

    reply_to: MemorySendChannel[bool]
