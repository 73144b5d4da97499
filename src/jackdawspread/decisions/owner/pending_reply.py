"""Request that has not been replied to."""

from typing import NamedTuple

from jackdawspread.messages.routed_submission import RoutedSubmission


class PendingReply(NamedTuple):
    """Submission with the monotonic time in seconds of its arrival."""

    submission: RoutedSubmission
    arrived_at: float
