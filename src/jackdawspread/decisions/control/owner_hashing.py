"""Rendezvous hashing of seats and limits of connections."""

from xxhash import xxh3_64_intdigest

from jackdawspread.messages.view import View

OWNERS_PER_DATABASE = 3
# Shares of a member's connections by seat, in eighths; their sum is the whole,
# so no list of instances has to be right for the limit to hold.
CONNECTION_EIGHTHS_BY_RANK = (5, 2, 1)


def choose_owners(view: View, database: str) -> tuple[str, ...]:
    """Return the seat holders by rendezvous hashing, spread over failure domains."""
    members = view.member_by_incarnation
    ranked = sorted(
        members,
        key=lambda name: (xxh3_64_intdigest(f"{database}\n{name}".encode()), name),
        reverse=True,
    )
    first_by_domain: dict[str, str] = {}
    for name in ranked:
        first_by_domain.setdefault(members[name].failure_domain, name)
    spread = list(first_by_domain.values())
    rest = [name for name in ranked if name not in spread]
    return tuple((spread + rest)[:OWNERS_PER_DATABASE])


def owner_connection_limit(
    seats: tuple[str, ...], incarnation: str, connections: int
) -> int:
    """Return how many connections to one member a holder may have."""
    if incarnation not in seats:
        return 0
    return max(
        1, connections * CONNECTION_EIGHTHS_BY_RANK[seats.index(incarnation)] // 8
    )
