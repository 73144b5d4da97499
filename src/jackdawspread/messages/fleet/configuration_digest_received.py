"""Digest of another instance, with the address that sent it."""

from typing import NamedTuple

from jackdawspread.messages.fleet.configuration_digest import ConfigurationDigest


class ConfigurationDigestReceived(NamedTuple):
    """Reports a digest and the ``IP:port`` from which it came.

    A digest that was passed on comes from another instance than the one it is about.
    """

    digest: ConfigurationDigest
    sender: str
