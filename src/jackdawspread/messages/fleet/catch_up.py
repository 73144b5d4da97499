"""Result of waiting for the unpaused replica of a switchover."""

from typing import NamedTuple

from jackdawspread.messages.fleet.log_status import LogStatus


class CatchUp(NamedTuple):
    """Reports which logs the unpaused replica has received.

    Parameters
    ----------
    is_complete : bool
        Whether it has received the logs of all paused replicas.
    has_primary_log : bool
        Whether it has received what the primary had after the pauses.
    statuses : tuple of LogStatus
        Logs that were compared; empty unless the wait was successful.
    """

    is_complete: bool
    has_primary_log: bool
    statuses: tuple[LogStatus, ...] = ()
