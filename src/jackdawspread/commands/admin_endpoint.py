"""Endpoint of the administration API."""

from typing import NamedTuple


class AdminEndpoint(NamedTuple):
    """Administration API of an instance, with the credential to call it.

    Parameters
    ----------
    address : str
        ``IP:port`` of the administration API.
    credential : str
        Credential of the operator, sent as a bearer token.
    """

    address: str
    credential: str
