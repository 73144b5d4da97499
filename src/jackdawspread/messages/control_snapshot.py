"""Snapshot of the control state for the other tasks."""

from typing import NamedTuple

from jackdawspread.messages.configuration_document import ConfigurationDocument
from jackdawspread.messages.view import View


class ControlSnapshot(NamedTuple):
    """Sent by the control task to the gateway and the owners on each change.

    Parameters
    ----------
    incarnation : str
        Id of this instance, new at each start and each time it rejoins the view.
    authority_deadline : float
        Monotonic time in seconds until which new work may be admitted.
    configuration : ConfigurationDocument
        Latest known configuration.
    withdrawn_key_ids : frozenset of str
        Withdrawn keys that the configuration may not show as withdrawn yet.
    unsettled_views : tuple of View
        The last settled view and all later ones, including those that this instance
        skipped. The instance's share of a rate is the least over them.
    owner_addresses_by_database : dict of str to tuple of str
        Peer addresses of the live owners, the active one first.
    """

    incarnation: str
    authority_deadline: float
    configuration: ConfigurationDocument
    withdrawn_key_ids: frozenset[str]
    unsettled_views: tuple[View, ...]
    owner_addresses_by_database: dict[str, tuple[str, ...]]
