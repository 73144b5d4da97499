"""List of the instances as it was last read."""

from typing import NamedTuple

from jackdawspread.messages.fleet.instance_entry import InstanceEntry


class PeersSeen(NamedTuple):
    """Reports all registered instances, this one included, by their ids."""

    entry_by_instance: dict[str, InstanceEntry]
