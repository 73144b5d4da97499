"""From which instance a newer configuration is fetched."""

from collections.abc import Sequence

from jackdawspread.messages.fleet.configuration_digest import ConfigurationDigest


def choose_source(
    digests: Sequence[ConfigurationDigest], draw: float
) -> ConfigurationDigest:
    """Choose one of the instances that have it, in proportion to their links.

    Parameters
    ----------
    digests : sequence of ConfigurationDigest
        Digests of these instances, at least one.
    draw : float
        Random number from 0 to 1.
    """
    left = draw * sum(digest.link_bytes_per_s for digest in digests)
    for digest in digests:
        left -= digest.link_bytes_per_s
        if left < 0:
            return digest
    return digests[-1]
