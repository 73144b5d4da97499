"""What an instance currently knows and may do."""

from typing import NamedTuple

from jackdawspread.messages.configuration_document import ConfigurationDocument
from jackdawspread.messages.view import View


class ControlSnapshot(NamedTuple):
    """Sent by the control task to the gateway and the owners on each change.

    Parameters
    ----------
    incarnation : str
        Id of this process start.
    authority_deadline : float
        Monotonic time in seconds until which new work may be admitted.
    configuration : ConfigurationDocument
        Latest known configuration.
    withdrawn_key_ids : frozenset of str
        Withdrawals known beyond the configuration.
    unsettled_views : tuple of View
        The last settled view and all later ones, also those that this instance
        skipped; a share is the least over them.
    owner_addresses_by_database : dict of str to tuple of str
        Peer addresses of the live seat holders, first the active one.
    """

    incarnation: str
    authority_deadline: float
    configuration: ConfigurationDocument
    withdrawn_key_ids: frozenset[str]
    unsettled_views: tuple[View, ...]
    owner_addresses_by_database: dict[str, tuple[str, ...]]
