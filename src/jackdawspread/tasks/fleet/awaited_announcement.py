"""Announcement whose confirmations are awaited."""

from typing import NamedTuple

from trio import Event

from jackdawspread.messages.fleet.acknowledged_positions import AcknowledgedPositions


class AwaitedAnnouncement(NamedTuple):
    """Instances that have not confirmed an announcement.

    Parameters
    ----------
    missing : set of str
        Ids of these instances; changed with each confirmation.
    acknowledged : list of AcknowledgedPositions
        What those that have confirmed it have acknowledged; extended with each
        confirmation.
    confirmed : trio.Event
        Set once all have confirmed it.
    """

    missing: set[str]
    acknowledged: list[AcknowledgedPositions]
    confirmed: Event
