"""Choice of owners by rendezvous hashing, and their connection limits."""

from xxhash import xxh3_64_intdigest

from jackdawspread.messages.view import View

OWNERS_PER_DATABASE = 3
# Shares of a member's connections by rank, in eighths. They add up to the total, so
# the limit holds even if instances have different lists of live instances.
CONNECTION_EIGHTHS_BY_RANK = (5, 2, 1)


def choose_owners(view: View, database: str) -> tuple[str, ...]:
    """Return the owners of a database by rank, spread over failure domains."""
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
    owners: tuple[str, ...], incarnation: str, connections: int
) -> int:
    """Return how many connections to one member an owner may have."""
    if incarnation not in owners:
        return 0
    return max(
        1, connections * CONNECTION_EIGHTHS_BY_RANK[owners.index(incarnation)] // 8
    )
