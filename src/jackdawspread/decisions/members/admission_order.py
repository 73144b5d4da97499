"""Order in which waiting requests for a member are served when room is short."""

from collections.abc import Mapping, Sequence

from jackdawspread.messages.fleet.connection_request import ConnectionRequest
from jackdawspread.messages.fleet.member_requirement import MemberRequirement

# A priority that has been passed over this often gets the next turn, so that no kind
# of statement is left without an answer for as long as more urgent ones keep arriving.
MAX_PASSED_OVER = 9


def admission_order(
    waiting: Sequence[ConnectionRequest],
    in_use_by_workspace: Mapping[str, int],
    passed_over_by_priority: Mapping[int, int],
    answered_at: float,
) -> list[ConnectionRequest]:
    """Return the waiting requests in the order in which they get room.

    More urgent routes go first. Within a priority, statements that would be late if
    they were answered at ``answered_at``, a monotonic time in seconds, go last. What
    only the primary can serve goes before reads that another member may answer; then
    follow the workspaces that use the fewest connections, and the order of arrival.
    """
    ordered = sorted(
        waiting,
        key=lambda request: (
            request.priority,
            answered_at > request.target_at,
            request.requirement is MemberRequirement.FRESH,
            in_use_by_workspace.get(request.workspace, 0),
        ),
    )
    overdue = [
        request
        for request in ordered
        if passed_over_by_priority.get(request.priority, 0) >= MAX_PASSED_OVER
    ]
    if overdue:
        first = max(overdue, key=lambda request: request.priority)
        ordered.remove(first)
        ordered.insert(0, first)
    return ordered


def count_passed_over(
    passed_over_by_priority: Mapping[int, int],
    served: ConnectionRequest,
    waiting: Sequence[ConnectionRequest],
) -> dict[int, int]:
    """Return how often each waiting priority was passed over, after one was served."""
    less_urgent = {
        request.priority for request in waiting if request.priority > served.priority
    }
    counts = {
        priority: count
        for priority, count in passed_over_by_priority.items()
        if priority != served.priority
    }
    for priority in less_urgent:
        counts[priority] = counts.get(priority, 0) + 1
    return counts
