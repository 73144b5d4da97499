"""Chooses the request that gets a free connection."""

from collections.abc import Mapping, Sequence

from jackdawspread.messages.fleet.connection_request import ConnectionRequest


def next_waiter(
    waiting: Sequence[ConnectionRequest], in_use_by_workspace: Mapping[str, int]
) -> ConnectionRequest:
    """Return the first request of the workspace that uses the fewest connections.

    Ties are broken by the priority of the route, then by the order of arrival.
    """
    return min(
        waiting,
        key=lambda request: (
            in_use_by_workspace.get(request.workspace, 0),
            request.priority,
        ),
    )
