"""Decoding of the members' entries in the platform's store."""

from collections.abc import Iterable

from absl import logging
from msgspec import DecodeError, Struct, ValidationError, field
from msgspec.json import decode

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


def decode_members(rows: Iterable[StoreRow]) -> dict[str, MemberListing]:
    """Return the listed members by id; invalid entries are skipped."""
    listing_by_id = {}
    for row in rows:
        listing = _decode_entry(row)
        if listing is not None:
            listing_by_id[row.key] = listing
    return listing_by_id


def _decode_entry(row: StoreRow) -> MemberListing | None:
    try:
        entry = decode(row.value, type=_Entry)
        leaving = LEAVING_BY_STATE[entry.state]
        claims_primary = PRIMARY_BY_ROLE[entry.role]
        host, _, port = entry.address.rpartition(":")
        if not host or not 0 < int(port) < 65536:
            raise ValueError(f"invalid address: {entry.address[:40]!r}")
    except (DecodeError, ValidationError, KeyError, ValueError) as error:
        logging.vlog(1, "members: entry ignored key=%s reason=%r", row.key, error)
        return None
    return MemberListing(
        id=row.key,
        group=entry.group,
        address=entry.address,
        failure_domain=entry.failure_domain,
        slots=max(1, entry.slots),
        leaving=leaving,
        claims_primary=claims_primary,
    )
