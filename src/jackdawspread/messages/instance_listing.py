"""Entry of the platform's instance list."""

from typing import NamedTuple


class InstanceListing(NamedTuple):
    """Address, failure domain and state (``live`` or ``leaving``) of an instance."""

    address: str
    failure_domain: str
    state: str
