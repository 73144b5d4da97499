"""Reads the list of instances, which lags behind registrations."""

from typing import NamedTuple


class ListInstances(NamedTuple):
    """Reads the list of instances, which lags behind registrations."""
