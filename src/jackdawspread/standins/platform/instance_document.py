"""Registered instance as it appears in answers."""

from typing import TypedDict


class InstanceDocument(TypedDict):
    """Address, failure domain and state (``live`` or ``leaving``) of an instance."""

    address: str
    failure_domain: str
    state: str
