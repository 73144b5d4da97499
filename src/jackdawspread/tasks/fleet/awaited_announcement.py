"""Announcement whose confirmations are awaited."""

from typing import NamedTuple

from trio import Event


class AwaitedAnnouncement(NamedTuple):
    """Instances that have not confirmed an announcement.

    Parameters
    ----------
    missing : set of str
        Ids of these instances; changed with each confirmation.
    confirmed : trio.Event
        Set once all have confirmed it.
    """

    missing: set[str]
    confirmed: Event
