"""When an instance writes the record of the rate leases, and what it writes.

A lease passes to another instance only after it has expired, and each write is
conditional on the version of the record from which it was computed. So a part of the
rates never has two holders.
"""

from zlib import crc32

from jackdawspread.decisions.rate_leases.rate_lease import RateLease
from jackdawspread.decisions.rate_leases.rate_lease_record import RateLeaseRecord

# Number of parts of each rate. The loss of a holder takes one part out of use until its
# lease expires, and a part has at least one token of burst whatever the limit is.
RATE_LEASES = 4
PARTS = tuple(str(part) for part in range(RATE_LEASES))
# Longer than most outages of the store.
LEASE_TTL_S = 14.0
RENEWAL_INTERVAL_S = 3.0
# Instances claim a free part at different times within this interval, so that most of
# them learn of the new holder before they try.
CLAIM_SPREAD_S = 0.8
# An instance that holds leases claims another one later than the instances without.
CLAIM_DELAY_PER_LEASE_S = 1.0


def held_parts(record: RateLeaseRecord, instance: str) -> tuple[str, ...]:
    """Return the parts whose leases are in the name of an instance."""
    return tuple(part for part, lease in record.items() if lease["holder"] == instance)


def next_write_at(
    record: RateLeaseRecord, instance: str, known_since: float, has_renewed: bool
) -> float:
    """Return the time of the store's clock at which an instance writes the record.

    Parameters
    ----------
    record : RateLeaseRecord
        Record as it was last known.
    instance : str
        Id of the instance.
    known_since : float
        Time of the store's clock at which this process first read the record.
    has_renewed : bool
        Whether this process has renewed its leases. A restarted process renews the
        leases of its predecessor at once.
    """
    held = held_parts(record, instance)
    times = [
        record[part]["until"] - LEASE_TTL_S + RENEWAL_INTERVAL_S if has_renewed else 0.0
        for part in held
    ]
    times += [
        _claim_at(part, record, instance, known_since)
        for part in PARTS
        if part not in held
    ]
    return min(times)


def write_leases(
    record: RateLeaseRecord,
    instance: str,
    address: str,
    known_since: float,
    store_time_s: float,
) -> RateLeaseRecord:
    """Return the record after a write: own leases renewed, and one free part claimed.

    The record is unchanged if the instance holds no lease and no part is free for it.
    """
    held = held_parts(record, instance)
    claimable = [
        part
        for part in PARTS
        if part not in held
        and _claim_at(part, record, instance, known_since) <= store_time_s
    ]
    lease = RateLease(
        holder=instance, address=address, until=store_time_s + LEASE_TTL_S
    )
    return {**record, **{part: lease for part in (*held, *claimable[:1])}}


def _claim_at(
    part: str, record: RateLeaseRecord, instance: str, known_since: float
) -> float:
    expires_at = record[part]["until"] if part in record else known_since
    order = crc32(f"{part} {instance}".encode()) / 2**32
    delay = CLAIM_SPREAD_S * order
    delay += CLAIM_DELAY_PER_LEASE_S * len(held_parts(record, instance))
    return max(expires_at, known_since) + delay
