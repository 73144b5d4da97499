"""Actions of a caller's session and of the members."""

from collections.abc import Iterator

from spec.replicas import steps
from spec.replicas.entry import Entry
from spec.replicas.member import Member
from spec.session.rules import Rules
from spec.session.state import State

Steps = Iterator[tuple[str, State]]
LAST_TERM = 3
LOG_BOUND = 4
OWN, OTHER = "own-write", "other-write"


def promote(state: State, rules: Rules) -> Steps:
    """Replace the primary."""
    for name, members in steps.promotions(state.members, LAST_TERM):
        yield name, state._replace(members=members)


def replicate(state: State, rules: Rules) -> Steps:
    """Follow a primary by one entry."""
    for name, members in steps.replications(state.members):
        yield name, state._replace(members=members)


def write(state: State, rules: Rules) -> Steps:
    """Append a write of this caller or of another at a primary."""
    for index, member in enumerate(state.members):
        if not member.primary or len(member.log) >= LOG_BOUND:
            continue
        for kind in (OWN, OTHER):
            log = member.log + (Entry(member.promised, kind),)
            members = steps.with_member(state.members, index, member._replace(log=log))
            yield f"member={index} {kind}", state._replace(members=members)


def advanced(state: State, member: Member, position: int) -> State:
    """Return the state with the token moved to a position, never back."""
    token = (member.log[position - 1].term, position)
    if token <= state.token:
        return state
    return state._replace(token=token, token_term=member.promised)


def acknowledge(state: State, rules: Rules) -> Steps:
    """Acknowledge the caller's write and put it into the token."""
    for index, member in enumerate(state.members):
        for position, entry in enumerate(member.log, 1):
            if not member.primary or entry.kind != OWN:
                continue
            confirmed = steps.confirmed(state.members, index, position)
            if rules.confirm_before_acknowledging and not confirmed:
                continue
            after = advanced(state, member, position)
            written = max(state.written, member.log[:position], key=len)
            yield f"member={index} position={position}", after._replace(written=written)


def contains(member: Member, token: tuple[int, int], rules: Rules) -> bool:
    """Return whether a member's history contains the token."""
    term, sequence = token
    if not sequence or not rules.member_checks_token:
        return True
    if not rules.token_names_term:
        return len(member.log) >= sequence
    return [entry.term for entry in member.log[sequence - 1 : sequence]] == [term]


def read(state: State, rules: Rules) -> Steps:
    """Serve a read at any member that contains the token."""
    for index, member in enumerate(state.members):
        if not contains(member, state.token, rules):
            continue
        stale = member.log[: len(state.written)] != state.written
        yield f"member={index}", state._replace(stale_read=state.stale_read or stale)


def read_advances(state: State, rules: Rules) -> Steps:
    """Advance the token by a read at a primary."""
    for index, member in enumerate(state.members):
        if not member.primary or not contains(member, state.token, rules):
            continue
        for position in range(1, len(member.log) + 1):
            confirmed = steps.confirmed(state.members, index, position)
            if confirmed or not rules.reads_advance_to_confirmed_only:
                yield f"member={index}", advanced(state, member, position)
