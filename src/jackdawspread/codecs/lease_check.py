"""Checks records of rate leases that came from the store or from a peer."""

from math import isfinite

from jackdawspread.codecs.network_address import parse_address
from jackdawspread.decisions.rate_leases.rate_lease_record import RateLeaseRecord


def check_leases(record: RateLeaseRecord) -> None:
    """Check addresses and times.

    Raises
    ------
    ValueError
        If a holder can't be reached or the expiry of a lease is not finite.
    """
    for lease in record.values():
        parse_address(lease["address"])
        if not isfinite(lease["until"]):
            raise ValueError("the expiry of a lease must be finite")
