"""Decoding of the members' entries in the platform's store."""

from collections.abc import Iterable
from typing import Any

from absl import logging
from msgspec import Struct, field

from jackdawspread.codecs.listing_check import check_listing
from jackdawspread.codecs.stored_json import decode_stored
from jackdawspread.decisions.members.cold_members import (
    check_cold_time_s,
    usable_start_ms,
)
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.platform.store_rows import StoreRow

LEAVING_BY_STATE = {"ready": False, "draining": True}
COLD_FIELD = "ColdRemainingMs"
PRIMARY_BY_ROLE = {"primary": True, "replica": False}


class _Entry(Struct):
    # A "Service" is a group of members that replicate one log.
    group: str = field(name="Service")
    address: str = field(name="Address")
    failure_domain: str = field(name="Zone")
    state: str = field(name="State")
    # The role that the member claims, which may be out of date.
    role: str = field(name="DbRole")
    slots: int = field(name="Slots", default=1)
    # Checked apart, since an entry with a wrong value still names a member.
    cold_remaining_ms: Any = field(name=COLD_FIELD, default=0)
    started_at_ms: Any = field(name="born", default=0)


def decode_members(
    rows: Iterable[StoreRow], skipped: set[str]
) -> dict[str, MemberListing]:
    """Return the listed members by id; entries that can't be used are skipped.

    Parameters
    ----------
    rows : iterable of StoreRow
        All entries.
    skipped : set of str
        Keys of the entries that were skipped. It is updated; only a key that is new in
        it is logged.
    """
    listing_by_id = {}
    reason_by_key = {}
    for row in rows:
        try:
            entry = decode_stored(row.value, _Entry)
            listing_by_id[row.key] = _to_listing(row.key, entry)
        except (KeyError, ValueError) as error:
            reason_by_key[row.key] = str(error)
            continue
        try:
            cold_s = check_cold_time_s(entry.cold_remaining_ms)
        except ValueError as error:
            reason_by_key[f"{row.key}/{COLD_FIELD}"] = str(error)
            continue
        listing_by_id[row.key] = listing_by_id[row.key]._replace(
            cold_remaining_s=cold_s,
            started_at_ms=usable_start_ms(entry.started_at_ms) if cold_s else 0,
        )
    for key in reason_by_key.keys() - skipped:
        logging.warning(
            "members: entry ignored key=%r reason=%r", key, reason_by_key[key]
        )
    skipped.clear()
    skipped.update(reason_by_key)
    return listing_by_id


def _to_listing(id: str, entry: _Entry) -> MemberListing:
    listing = MemberListing(
        id=id,
        group=entry.group,
        address=entry.address,
        failure_domain=entry.failure_domain,
        slots=entry.slots,
        leaving=LEAVING_BY_STATE[entry.state],
        claims_primary=PRIMARY_BY_ROLE[entry.role],
    )
    check_listing(listing)
    return listing
