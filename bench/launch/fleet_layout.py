"""Addresses of a running deployment."""

from typing import NamedTuple

from bench.launch.instance_addresses import InstanceAddresses


class FleetLayout(NamedTuple):
    """Addresses and credentials that the bench chose for a run.

    Parameters
    ----------
    platform_address : str
        ``IP:port`` of the platform stand-in.
    members_by_database : dict of str to dict of str to str
        ``IP:port`` by member name, by database name.
    instance_by_name : dict of str to InstanceAddresses
        Addresses of the entry instances.
    operator_credential : str
        Credential of the administration API.
    session_secret : str
        Secret that signs session tokens.
    """

    platform_address: str
    members_by_database: dict[str, dict[str, str]]
    instance_by_name: dict[str, InstanceAddresses]
    operator_credential: str
    session_secret: str
