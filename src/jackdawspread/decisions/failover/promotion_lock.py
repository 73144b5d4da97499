"""Acquires and releases the promotion lock of a group.

The promotion lock is a record in the store, with an expiry time and a fencing token,
that lets one instance at a time promote a member of the group.
"""

from collections.abc import Collection

from jackdawspread.decisions.acknowledgement.permit import PERMIT_S
from jackdawspread.decisions.failover.promotion_lock_record import PromotionLockRecord
from jackdawspread.messages.fleet.store_epoch import StoreEpoch
from jackdawspread.messages.position import Position

# Other instances can acquire the lock after this time; a promotion takes less than a
# second.
PROMOTION_LOCK_TTL_S = 3.0
# Fencing tokens of one epoch of the store. Tokens of a later epoch are greater than all
# earlier ones, also than those that a restored store has forgotten.
TOKENS_PER_EPOCH = 2**32
FREE_PROMOTION_LOCK = PromotionLockRecord(token=0, holder="", until=0.0, ordered="")


def acquire_promotion_lock(
    record: PromotionLockRecord, instance: str, store_time_s: float, epoch: StoreEpoch
) -> PromotionLockRecord | None:
    """Return the record that acquires the lock, None if it may be in use.

    Until a lock from before a restore of the store has expired, which a fence may have
    extended, no instance acquires one: the record may not show it.
    """
    if (
        is_held(record, store_time_s)
        or store_time_s < epoch.began_s + PROMOTION_LOCK_TTL_S + PERMIT_S
    ):
        return None
    acquired = record.copy()
    acquired["token"] = max(record["token"], epoch.number * TOKENS_PER_EPOCH) + 1
    acquired["holder"] = instance
    acquired["until"] = store_time_s + PROMOTION_LOCK_TTL_S
    # The suspension of a holder that has died ended with its lock.
    acquired.pop("suspended", None)
    return acquired


def acquired_at(record: PromotionLockRecord) -> float:
    """Return the time of the store's clock at which the holder acquired the lock."""
    return record["until"] - PROMOTION_LOCK_TTL_S


def is_held(record: PromotionLockRecord, store_time_s: float) -> bool:
    """Whether an instance may rely on the lock at a time of the store's clock."""
    return bool(record["holder"]) and record["until"] > store_time_s


def record_ordered_member(
    record: PromotionLockRecord,
    member: str,
    term: int,
    roster: Collection[str],
    outstanding: tuple[str, ...] = (),
    log_end: Position | None = None,
) -> PromotionLockRecord:
    """Return the record that names the member whose promotion will be requested.

    ``outstanding`` are the members of earlier requests that may still be executed.
    ``log_end`` is the end of the member's log when logs were compared, None if its log
    goes on growing.

    A promotion request without an answer may be executed later, so the next holder
    has to prefer the same member. The promoted member may be the only one that knows
    its term, so the next holder takes a term above the recorded one.
    """
    ordered = record.copy()
    ordered["ordered"] = member
    ordered["fenced_token"] = record["token"]
    is_repeated = outstanding[-1:] == (member,)
    ordered["outstanding"] = [*outstanding, *(() if is_repeated else (member,))]
    # Instances of earlier versions end requests 30 s after this time.
    ordered["requested_at"] = record["until"]
    ordered["term"] = max(term, recorded_term(record))
    ordered.pop("log_end", None)
    if log_end is not None:
        ordered["log_end"] = list(log_end)
    if roster:
        ordered["roster"] = sorted(roster)
    ordered.pop("blocked_since", None)
    ordered.pop("blocked_at", None)
    return ordered


def record_roster(
    record: PromotionLockRecord, roster: Collection[str]
) -> PromotionLockRecord:
    """Return the record with another roster."""
    changed = record.copy()
    changed["roster"] = sorted(roster)
    return changed


def release_promotion_lock(record: PromotionLockRecord) -> PromotionLockRecord:
    """Return the record that releases the lock."""
    released = record.copy()
    released["holder"] = ""
    released["until"] = 0.0
    released.pop("suspended", None)
    return released


def recorded_term(record: PromotionLockRecord) -> int:
    """Return the newest term that the record names, 0 if it names none."""
    return record.get("term", 0)


def recorded_roster(record: PromotionLockRecord) -> frozenset[str]:
    """Return the roster that the record names, empty if it names none."""
    return frozenset(record.get("roster", ()))
