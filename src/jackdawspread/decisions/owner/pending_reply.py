"""Request that has not been replied to."""

from typing import NamedTuple

from jackdawspread.messages.routed_submission import RoutedSubmission


class PendingReply(NamedTuple):
    """Submission and the monotonic time in seconds at which it arrived."""

    submission: RoutedSubmission
    arrived_at: float
