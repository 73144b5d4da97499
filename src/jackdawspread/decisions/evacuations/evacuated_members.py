"""Members of evacuated failure domains."""

from collections.abc import Collection, Iterable, Mapping

from jackdawspread.messages.fleet.member_listing import MemberListing

# Fraction of the time within which an evacuation must take effect during which the
# primary of a group still gets work, so that its successor can be promoted meanwhile.
# The rest is for statements that are on their way.
PRIMARY_WORK_FRACTION = 0.5


def work_until(begun_at: float, evacuation_s: float) -> float:
    """Return the time until which the members of an evacuated domain may get work."""
    return begun_at + PRIMARY_WORK_FRACTION * evacuation_s


def is_evacuated(
    listing: MemberListing, work_until_by_domain: Mapping[str, float], now: float
) -> bool:
    """Whether a member gets no work at all because of an evacuation."""
    until = work_until_by_domain.get(listing.failure_domain)
    return until is not None and now >= until


def are_all_evacuated(
    listings: Collection[MemberListing],
    work_until_by_domain: Mapping[str, float],
    now: float,
) -> bool:
    """Whether a group has members, and all of them are evacuated."""
    return bool(listings) and all(
        is_evacuated(listing, work_until_by_domain, now) for listing in listings
    )


def has_successor(
    listings: Iterable[MemberListing], domains: Collection[str], primary: str
) -> bool:
    """Whether a member outside the evacuated domains can replace the primary."""
    return any(
        listing.id != primary
        and not listing.leaving
        and listing.failure_domain not in domains
        for listing in listings
    )


def mark_evacuated(
    listing_by_id: Mapping[str, MemberListing], domains: Collection[str]
) -> dict[str, MemberListing]:
    """Return the members with the evacuated ones marked as leaving.

    They are not chosen as the new primary, while their logs still count.
    """
    return {
        id: listing._replace(
            leaving=listing.leaving or listing.failure_domain in domains
        )
        for id, listing in listing_by_id.items()
    }
