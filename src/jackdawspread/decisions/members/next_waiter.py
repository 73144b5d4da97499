"""Chooses who gets a connection that became free."""

from collections.abc import Mapping, Sequence

from jackdawspread.messages.fleet.connection_request import ConnectionRequest


def next_waiter(
    waiting: Sequence[ConnectionRequest], in_use_by_workspace: Mapping[str, int]
) -> ConnectionRequest:
    """Return the request of the workspace that uses the fewest connections.

    Among workspaces that use as many, the route's priority and then the order of
    arrival decide.
    """
    return min(
        waiting,
        key=lambda request: (
            in_use_by_workspace.get(request.workspace, 0),
            request.priority,
        ),
    )
