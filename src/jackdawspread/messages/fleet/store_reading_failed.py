"""Failure of a call to the store for the configuration."""

from typing import NamedTuple


class StoreReadingFailed(NamedTuple):
    """Reports that the store did not answer; the reader has logged why."""
