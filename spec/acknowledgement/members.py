"""Actions of members and of the platform.

Pauses are not part of the state: a replica that is paused may be resumed by a late
command or restart at any moment, so a pause only shows that logs can be compared at one
moment. A crash of the primary, and its return with its log, are actions not taken.
"""

from collections.abc import Iterator

from spec.acknowledgement.rules import Rules
from spec.acknowledgement.state import AWAY, State

Steps = Iterator[tuple[str, State]]
MEMBERS = (0, 1, 2, 3)
JOINING = 3


def receive(state: State, rules: Rules) -> Steps:
    """Let a replica receive the primary's next entry."""
    if not state.leads:
        return
    source = state.logs[state.primary]
    for member in replicas(state):
        log = state.logs[member]
        if log != source:
            longer = replaced(state.logs, member, source[: len(log) + 1])
            yield f"member={member}", state._replace(logs=longer)


def join(state: State, rules: Rules) -> Steps:
    """Let a new replica join with an empty log, once."""
    if rules.joins and not state.present[JOINING] and not state.roster[JOINING]:
        yield "", state._replace(present=replaced(state.present, JOINING, True))


def enlist(state: State, rules: Rules) -> Steps:
    """Let the list name the replica that has joined."""
    if state.store == AWAY:
        return
    if state.present[JOINING] and not state.roster[JOINING]:
        yield "", state._replace(roster=replaced(state.roster, JOINING, True))


def depart(state: State, rules: Rules) -> Steps:
    """Let a member leave for good; its log is gone with it.

    It is a listed one, or one that no list has named yet.
    """
    if state.departures == rules.max_departures:
        return
    for member in MEMBERS:
        if state.present[member] and state.roster[member] != rules.unlisted_departs:
            yield (
                f"member={member}",
                state._replace(
                    present=replaced(state.present, member, False),
                    logs=replaced(state.logs, member, ()),
                    leads=state.leads and member != state.primary,
                    departures=state.departures + 1,
                ),
            )


def restart(state: State, rules: Rules) -> Steps:
    """Start a replica again without its log, under its id.

    It happens before logs are compared; later the chosen log itself may be lost.
    """
    if state.restarts == rules.max_restarts or state.attempt.target >= 0:
        return
    if state.calls:
        return
    for member in replicas(state):
        if state.logs[member]:
            yield (
                f"member={member}",
                state._replace(
                    logs=replaced(state.logs, member, ()),
                    restarts=state.restarts + 1,
                ),
            )


def demote(state: State, rules: Rules) -> Steps:
    """Demote the primary, by a command of this attempt or a late one."""
    if state.leads and state.token and not state.outstanding & bit(state.primary):
        yield "", state._replace(leads=False)


def accept(state: State, rules: Rules) -> Steps:
    """Accept a call; it takes effect later, or never."""
    for token, member in state.calls:
        if token > state.highest_token and state.present[member]:
            yield f"token={token} member={member}", _received(state, token)


def execute(state: State, rules: Rules) -> Steps:
    """Let a call take effect, at any time after it was sent.

    Members that were ahead of the new primary are rolled back at that moment. A call
    for the present primary changes nothing but the token.
    """
    for token, member in state.calls:
        if token < state.highest_token or not state.present[member]:
            continue
        after = _received(state, token)
        if member != state.primary or not state.leads:
            if state.term == rules.max_term:
                continue
            source = state.logs[member]
            after = after._replace(
                logs=tuple(_roll_back(log, source) for log in state.logs),
                primary=member,
                term=state.term + 1,
                leads=True,
            )
        if after != state:
            yield f"token={token} member={member}", after


def replicas(state: State) -> list[int]:
    """Return the members other than the primary that are present."""
    return [m for m in MEMBERS if state.present[m] and m != state.primary]


def bit(member: int) -> int:
    """Return the bit mask of a member, 0 for none."""
    return 1 << member if member >= 0 else 0


def replaced(values: tuple, index: int, value: object) -> tuple:
    """Return the values with one replaced."""
    return (*values[:index], value, *values[index + 1 :])


def _received(state: State, token: int) -> State:
    calls = tuple(call for call in state.calls if call[0] >= token)
    return state._replace(calls=calls, highest_token=token)


def _roll_back(log: tuple[int, ...], source: tuple[int, ...]) -> tuple[int, ...]:
    """Return the part of a log that the new primary's log holds too."""
    common = 0
    while common < min(len(log), len(source)) and log[common] == source[common]:
        common += 1
    return log[:common]
