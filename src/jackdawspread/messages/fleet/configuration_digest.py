"""Datagram that says which configuration an instance holds."""

from typing import NamedTuple

from jackdawspread.messages.fleet.configuration_revision import ConfigurationRevision


class ConfigurationDigest(NamedTuple):
    """Says which configuration an instance holds, and whether it reads the store.

    Parameters
    ----------
    instance, address, failure_domain : str
        Id, ``IP:port`` for datagrams and failure domain of the instance that holds the
        configuration.
    revision : ConfigurationRevision
        The configuration; ``NO_REVISION`` if the instance has none.
    epoch : int
        Epoch of the store in which the store had it.
    store_version : int
        Version of the store up to which the instance knows all changes.
    confirmed_s : float
        Time of the store's clock in seconds at which the store had the configuration.
    evacuated_domains : tuple of str or None
        Evacuated failure domains in ascending order; None if the instance does not
        follow evacuations.
    is_reader : bool
        Whether the instance has the store report changes to it.
    link_bytes_per_s : float
        Rate of the link of the instance's machine.
    hops : int
        How often the digest may still be passed on.
    """

    instance: str
    address: str
    failure_domain: str
    revision: ConfigurationRevision
    epoch: int
    store_version: int
    confirmed_s: float
    evacuated_domains: tuple[str, ...] | None
    is_reader: bool
    link_bytes_per_s: float
    hops: int
