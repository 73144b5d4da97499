"""Checks entries of members that other writers or peers have left."""

from math import inf

from jackdawspread.codecs.network_address import parse_address
from jackdawspread.messages.fleet.member_listing import MemberListing

MAX_SLOTS = 10_000
MAX_NAME_CHARACTERS = 200


def check_listing(listing: MemberListing) -> None:
    """Check what can be used of an entry.

    Raises
    ------
    ValueError
        If the address, the number of slots or a name can't be used.
    """
    parse_address(listing.address)
    if not 0 < listing.slots <= MAX_SLOTS:
        raise ValueError(f"slots must be from 1 to {MAX_SLOTS}")
    if not 0 <= listing.cold_remaining_s < inf:
        raise ValueError("the cold time must be finite and not negative")
    for name in (listing.id, listing.group, listing.failure_domain):
        check_name(name)


def check_name(name: str) -> None:
    """Check that a name is one word, as it is sent within a line.

    Raises
    ------
    ValueError
        If it is empty, too long, or contains a space or a control character.
    """
    is_word = name.isprintable() and not any(c.isspace() for c in name)
    if not name or not is_word or len(name) > MAX_NAME_CHARACTERS:
        raise ValueError(f"not a name: {name[:40]!r}")
