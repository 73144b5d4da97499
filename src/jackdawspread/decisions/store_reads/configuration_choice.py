"""What an instance does with a configuration that the store has or had."""

from enum import StrEnum

from jackdawspread.decisions.store_reads.held_configuration import HeldConfiguration
from jackdawspread.messages.fleet.configuration_revision import ConfigurationRevision


class ConfigurationChoice(StrEnum):
    """Whether to use another configuration or the one that is held."""

    TAKE = "take"
    CONFIRM = "confirm"
    KEEP = "keep"


def choose_configuration(
    held: HeldConfiguration | None,
    stored: ConfigurationRevision,
    epoch: int,
    as_of: float,
    max_age_s: float,
) -> ConfigurationChoice:
    """Compare a configuration that the store had with the one that is held.

    A restored store has an older configuration until the operator has written the
    newest one again. Meanwhile the held one stays in use, unconfirmed. It is given up
    when it is so old that no change could still be pending, and is not taken again
    from an instance that still has it.

    Parameters
    ----------
    held : HeldConfiguration or None
        Configuration in use; None after a start.
    stored : ConfigurationRevision
        Configuration that the store had.
    epoch : int
        Epoch of the store at that time.
    as_of : float
        Boot-time clock in seconds at which the store had it.
    max_age_s : float
        Age in seconds beyond which a configuration may not be used.
    """
    if held is None:
        return ConfigurationChoice.TAKE
    is_given_up = epoch < held.epoch and held.confirmed_at - as_of > max_age_s
    if stored.version > held.revision.version and not is_given_up:
        return ConfigurationChoice.TAKE
    if stored == held.revision:
        return ConfigurationChoice.CONFIRM
    is_restored = epoch > held.epoch
    has_same_version = stored.version == held.revision.version
    if is_restored and (has_same_version or as_of - held.confirmed_at > max_age_s):
        return ConfigurationChoice.TAKE
    return ConfigurationChoice.KEEP
