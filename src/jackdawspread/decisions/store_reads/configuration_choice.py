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
    now: float,
    max_age_s: float,
) -> ConfigurationChoice:
    """Compare a configuration that the store had with the one that is held.

    A restored store has an older configuration until the operator has written the
    newest one again. Meanwhile the held one stays in use, unconfirmed. It is given up
    when it is so old that no change could still be pending.

    Parameters
    ----------
    held : HeldConfiguration or None
        Configuration in use; None after a start.
    stored : ConfigurationRevision
        Configuration that the store had.
    epoch : int
        Epoch of the store at that time.
    now : float
        Boot-time clock in seconds.
    max_age_s : float
        Age in seconds beyond which a configuration may not be used.
    """
    if held is None or stored.version > held.revision.version:
        return ConfigurationChoice.TAKE
    if stored == held.revision:
        return ConfigurationChoice.CONFIRM
    is_restored = epoch > held.epoch
    has_same_version = stored.version == held.revision.version
    if is_restored and (has_same_version or now - held.confirmed_at > max_age_s):
        return ConfigurationChoice.TAKE
    return ConfigurationChoice.KEEP
