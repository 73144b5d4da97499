"""Chooses the connections that are closed when memory is short.

This protects against clients that start large messages or leave large answers unread,
many at a time. A client that makes progress holds its memory for a short time, so the
product of bytes and time is large only for those that hold much and progress little.
"""

from collections.abc import Mapping

from jackdawspread.decisions.limits.connection_load import ConnectionLoad

# Age that a connection counts with at least, so that of two new ones the larger goes.
MIN_AGE_S = 0.1


def connections_to_close(
    load_by_id: Mapping[int, ConnectionLoad], excess_bytes: float, now: float
) -> list[int]:
    """Return the connections to close until ``excess_bytes`` are free.

    All candidates are returned if they hold less than that.
    """
    candidates = [
        (load.held_bytes * max(MIN_AGE_S, now - load.held_since), id)
        for id, load in load_by_id.items()
        if load.held_bytes and not load.is_running
    ]
    chosen = []
    for _, id in sorted(candidates, reverse=True):
        if excess_bytes <= 0:
            break
        chosen.append(id)
        excess_bytes -= load_by_id[id].held_bytes
    return chosen
