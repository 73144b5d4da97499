"""Datagram with the record of the rate leases."""

from typing import NamedTuple

from jackdawspread.decisions.rate_leases.rate_lease_record import RateLeaseRecord


class RateLeasesAnnounced(NamedTuple):
    """Gives the record that the sender has written, and its version in the store."""

    version: int
    record: RateLeaseRecord
