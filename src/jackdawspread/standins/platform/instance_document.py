"""Instance as it appears in bodies."""

from typing import TypedDict


class InstanceDocument(TypedDict):
    """Address, failure domain and state (live, leaving) of an instance."""

    address: str
    failure_domain: str
    state: str
