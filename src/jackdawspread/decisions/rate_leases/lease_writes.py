"""When an instance writes the record of the rate leases, and what it writes.

A lease passes to another instance only after it has expired, and each write is
conditional on the version of the record from which it was computed. So a part of the
rates never has two holders.

A store that was restored from a copy has forgotten the newest leases. Their holders go
on using them and write them again. An expired lease in the restored record may have
passed to another instance, so nobody takes it until every forgotten one has expired.
"""

from zlib import crc32

from jackdawspread.decisions.rate_leases.rate_lease import RateLease
from jackdawspread.decisions.rate_leases.rate_lease_record import RateLeaseRecord
from jackdawspread.messages.fleet.store_epoch import StoreEpoch

# Number of parts of each rate. The loss of a holder takes one part out of use until its
# lease expires, and a part has at least one token of burst whatever the limit is.
RATE_LEASES = 4
PARTS = tuple(str(part) for part in range(RATE_LEASES))
# Longer than most outages of the store.
LEASE_TTL_S = 14.0
RENEWAL_INTERVAL_S = 3.0
# Two instances know the store's clock with errors below this time.
CLOCK_MARGIN_S = 2.0
# Instances claim a free part at different times within this interval, so that most of
# them learn of the new holder before they try.
CLAIM_SPREAD_S = 0.8
# An instance that holds leases claims another one later than the instances without.
CLAIM_DELAY_PER_LEASE_S = 1.0


def held_parts(record: RateLeaseRecord, instance: str) -> tuple[str, ...]:
    """Return the parts whose leases are in the name of an instance."""
    return tuple(part for part, lease in record.items() if lease["holder"] == instance)


def unexpired_parts(
    record: RateLeaseRecord, instance: str, store_time_s: float
) -> tuple[str, ...]:
    """Return the parts that an instance holds at a time of the store's clock."""
    return tuple(
        part
        for part in held_parts(record, instance)
        if record[part]["until"] > store_time_s
    )


def expires_too_late(record: RateLeaseRecord, store_time_s: float) -> bool:
    """Return whether a lease is longer than any that an instance writes."""
    latest = store_time_s + LEASE_TTL_S + CLOCK_MARGIN_S
    return any(lease["until"] > latest for lease in record.values())


def newest_epoch(record: RateLeaseRecord) -> int:
    """Return the epoch of the store in which a record was last written."""
    return max((lease.get("epoch", 0) for lease in record.values()), default=0)


def carry_over_leases(
    restored: RateLeaseRecord,
    known: RateLeaseRecord,
    instance: str,
    store_time_s: float,
) -> RateLeaseRecord:
    """Return a restored record with the leases that an instance holds.

    Only what the instance knew before the restore counts: the restored record may show
    a lease in its name that has passed to another one since the copy.
    """
    others = {
        part: lease for part, lease in restored.items() if lease["holder"] != instance
    }
    own = unexpired_parts(known, instance, store_time_s)
    return {**others, **{part: known[part] for part in own}}


def next_write_at(
    record: RateLeaseRecord,
    instance: str,
    known_since: float,
    has_renewed: bool,
    epoch: StoreEpoch,
    store_time_s: float,
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
    epoch : StoreEpoch
        Epoch of the store.
    store_time_s : float
        Current time of the store's clock in seconds.
    """
    held = _renewable_parts(record, instance, epoch, store_time_s)
    times = [
        record[part]["until"] - LEASE_TTL_S + RENEWAL_INTERVAL_S if has_renewed else 0.0
        for part in held
    ]
    times += [
        _claim_at(part, record, instance, known_since, epoch)
        for part in PARTS
        if part not in held
    ]
    return min(times)


def write_leases(
    record: RateLeaseRecord,
    instance: str,
    address: str,
    known_since: float,
    epoch: StoreEpoch,
    store_time_s: float,
) -> RateLeaseRecord:
    """Return the record after a write: own leases renewed, and one free part claimed.

    The record is unchanged if the instance holds no lease and no part is free for it.
    """
    held = _renewable_parts(record, instance, epoch, store_time_s)
    claimable = [
        part
        for part in PARTS
        if part not in held
        and _claim_at(part, record, instance, known_since, epoch) <= store_time_s
    ]
    lease = RateLease(
        holder=instance,
        address=address,
        until=store_time_s + LEASE_TTL_S,
        epoch=epoch.number,
    )
    return {**record, **{part: lease for part in (*held, *claimable[:1])}}


def _renewable_parts(
    record: RateLeaseRecord, instance: str, epoch: StoreEpoch, store_time_s: float
) -> tuple[str, ...]:
    if store_time_s >= _all_forgotten_expired_at(epoch):
        return held_parts(record, instance)
    return unexpired_parts(record, instance, store_time_s)


def _all_forgotten_expired_at(epoch: StoreEpoch) -> float:
    return epoch.began_s + LEASE_TTL_S


def _claim_at(
    part: str,
    record: RateLeaseRecord,
    instance: str,
    known_since: float,
    epoch: StoreEpoch,
) -> float:
    expires_at = record[part]["until"] if part in record else known_since
    order = crc32(f"{part} {instance}".encode()) / 2**32
    delay = CLAIM_SPREAD_S * order
    delay += CLAIM_DELAY_PER_LEASE_S * len(held_parts(record, instance))
    return max(expires_at, known_since, _all_forgotten_expired_at(epoch)) + delay
