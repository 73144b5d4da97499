"""Checks that a log status can be true."""

from jackdawspread.messages.fleet.log_status import LogStatus


def is_plausible(status: LogStatus) -> bool:
    """Whether the log ends in a term that the member knows."""
    return 0 <= status.received.term <= status.term and status.received.sequence >= 0
