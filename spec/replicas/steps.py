"""Promotion, replication and confirmation, each in one step.

The model of promotion checks that its separate steps amount to this.
"""

from collections.abc import Iterator
from itertools import combinations

from spec.replicas.entry import Entry
from spec.replicas.member import Member

Members = tuple[Member, ...]
START = "start"
FOLLOWER = Member((Entry(1, START),), 1, False)
INITIAL: Members = (FOLLOWER._replace(primary=True), FOLLOWER, FOLLOWER)


def with_member(members: Members, index: int, member: Member) -> Members:
    """Return the members with one replaced."""
    return members[:index] + (member,) + members[index + 1 :]


def promotions(members: Members, last_term: int) -> Iterator[tuple[str, Members]]:
    """Promote in the next term; the member outside the majority receives nothing."""
    term = max(member.promised for member in members) + 1
    if term > last_term:
        return
    for group in combinations(range(3), 2):
        ends = {i: (members[i].log[-1].term, len(members[i].log)) for i in group}
        for chosen in group:
            if ends[chosen] != max(ends.values()):
                continue
            after = members
            for index in group:
                log = members[index].log
                if index == chosen:
                    log = log + (Entry(term, START),)
                member = Member(log, term, index == chosen)
                after = with_member(after, index, member)
            yield f"term={term} majority={group} primary={chosen}", after


def replications(members: Members) -> Iterator[tuple[str, Members]]:
    """Follow a primary of the same or a newer term by one entry."""
    for source, primary in enumerate(members):
        for index, member in enumerate(members):
            if not primary.primary or primary.promised < member.promised:
                continue
            if index == source:
                continue
            size = len(member.log)
            if member.log[-1:] == primary.log[size - 1 : size]:
                log = member.log + primary.log[size : size + 1]
            else:
                log = member.log[:-1]
            followed = Member(log, primary.promised, False)
            yield f"{source}->{index}", with_member(members, index, followed)


def held(member: Member, term: int, position: int, entry: Entry) -> bool:
    """Return whether a member confirms an entry at a position in a term."""
    return (
        member.log[position - 1 : position] == (entry,)
        and member.log[-1].term == term
        and member.promised <= term
    )


def confirmed(members: Members, source: int, position: int) -> bool:
    """Return whether a second member confirms a position of a primary."""
    primary = members[source]
    entry = primary.log[position - 1]
    return any(
        held(member, primary.promised, position, entry)
        for index, member in enumerate(members)
        if index != source
    )
