"""Decoding of the members' entries in the platform's store."""

from collections.abc import Iterable

from absl import logging
from msgspec import Struct, field

from jackdawspread.codecs.listing_check import check_listing
from jackdawspread.codecs.stored_json import decode_stored
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.platform.store_rows import StoreRow

LEAVING_BY_STATE = {"ready": False, "draining": True}
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
            listing_by_id[row.key] = _decode_entry(row)
        except (KeyError, ValueError) as error:
            reason_by_key[row.key] = str(error)
    for key in reason_by_key.keys() - skipped:
        logging.warning(
            "members: entry ignored key=%r reason=%r", key, reason_by_key[key]
        )
    skipped.clear()
    skipped.update(reason_by_key)
    return listing_by_id


def _decode_entry(row: StoreRow) -> MemberListing:
    entry = decode_stored(row.value, _Entry)
    listing = MemberListing(
        id=row.key,
        group=entry.group,
        address=entry.address,
        failure_domain=entry.failure_domain,
        slots=entry.slots,
        leaving=LEAVING_BY_STATE[entry.state],
        claims_primary=PRIMARY_BY_ROLE[entry.role],
    )
    check_listing(listing)
    return listing
