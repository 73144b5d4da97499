"""Actions of members, instances and the platform.

Links between members that are cut, slow or lossy are covered by actions not taken. One
attempt runs at a time, as `succession` shows.
"""

from collections.abc import Iterator

from spec.evidence.rules import Rules
from spec.evidence.state import State

Steps = Iterator[tuple[str, State]]
MEMBERS = (0, 1, 2, 3)
MAX_DEPARTURES = 2
MAX_TERM = 3
MIN_LOGS = 2


def write(state: State, rules: Rules) -> Steps:
    """Append an entry at the primary, one in each term."""
    log = state.logs[state.primary]
    entry = 10 * state.term + len(log)
    if _serves(state) and end_of(log) < 10 * state.term:
        yield "", _with_log(state, state.primary, (*log, entry))


def receive(state: State, rules: Rules) -> Steps:
    """Let a replica receive the primary's next entry, and with it the term."""
    source = state.logs[state.primary]
    for member in _replicas(state):
        if not _serves(state) or state.paused[member]:
            continue
        longer = source[: len(state.logs[member]) + 1]
        received = _with_log(state, member, longer)
        if received != state:
            yield f"member={member}", received


def acknowledge(state: State, rules: Rules) -> Steps:
    """Acknowledge an entry that the primary and one replica hold."""
    if not _serves(state):
        return
    for entry in state.logs[state.primary]:
        held = any(entry in state.logs[member] for member in _replicas(state))
        if held and entry not in state.acknowledged:
            known = tuple(sorted((*state.acknowledged, entry)))
            yield f"entry={entry}", state._replace(acknowledged=known)


def depart(state: State, rules: Rules) -> Steps:
    """Let a member leave for good, or crash for good; its log is gone with it.

    A replica is in the recorded roster before it leaves.
    """
    if state.departures == MAX_DEPARTURES:
        return
    for member in MEMBERS:
        if not state.present[member] or not state.roster[member]:
            continue
        gone = state._replace(
            present=_set(state.present, member, False),
            logs=_set(state.logs, member, ()),
            paused=_set(state.paused, member, False),
            snapshot=-1,
            departures=state.departures + 1,
        )
        yield f"member={member}", gone


def join(state: State, rules: Rules) -> Steps:
    """Let a new replica join with an empty log, once."""
    has_joined = state.present[3] or state.roster[3]
    if not has_joined and (state.departures < MAX_DEPARTURES or state.ordered >= 0):
        yield "", state._replace(present=_set(state.present, 3, True))


def go_dark(state: State, rules: Rules) -> Steps:
    """Silence the primary, or let it return while no promotion is requested."""
    if state.ordered < 0 and state.present[state.primary] and state.leads:
        yield "", state._replace(is_dark=not state.is_dark)


def record(state: State, rules: Rules) -> Steps:
    """Add the listed members to the roster."""
    roster = tuple(a or b for a, b in zip(state.roster, state.present, strict=True))
    if roster != state.roster and state.ordered < 0:
        yield "", state._replace(roster=roster)


def read_primary(state: State, rules: Rules) -> Steps:
    """Read the end of the primary's log after a departure."""
    if _serves(state) and _departed(state):
        end = end_of(state.logs[state.primary])
        if state.snapshot != end:
            yield "", state._replace(snapshot=end)


def clear(state: State, rules: Rules) -> Steps:
    """Remove departed members from the roster once a replica covers them."""
    if not _departed(state) or state.ordered >= 0:
        return
    listed = [m for m in _replicas(state) if state.roster[m]]
    covered = state.snapshot >= 0 and any(
        end_of(state.logs[member]) >= state.snapshot for member in listed
    )
    if covered or not rules.cover_departed:
        roster = tuple(
            a and b for a, b in zip(state.roster, state.present, strict=True)
        )
        yield "", state._replace(roster=roster, snapshot=-1)


def pause(state: State, rules: Rules) -> Steps:
    """Pause the listed replicas under a term above those that members report.

    A pause under a term that is not above the newest one has no effect, which the
    attempt sees. `succession` covers pauses that take effect one after the other.
    """
    replicas = _replicas(state)
    if state.ordered >= 0 or len(replicas) < MIN_LOGS:
        return
    reported = max(max(end_of(state.logs[m]) // 10, 1) for m in replicas)
    if reported < state.term and not rules.raise_pause_term:
        yield "no effect", state._replace(is_stuck=not state.present[state.primary])
        return
    paused = tuple(m in replicas for m in MEMBERS)
    if paused != state.paused:
        yield "", state._replace(paused=paused)


def resume(state: State, rules: Rules) -> Steps:
    """End an attempt without a promotion."""
    if state.ordered < 0 and any(state.paused) and state.leads:
        yield "", state._replace(paused=(False,) * 4)


def fence(state: State, rules: Rules) -> Steps:
    """Demote a primary that answers."""
    if _serves(state) and any(state.paused) and state.ordered < 0:
        yield "", state._replace(leads=False, fenced=state.primary)


def order(state: State, rules: Rules) -> Steps:
    """Request the promotion of a member whose log is complete."""
    if state.ordered >= 0 or state.term == MAX_TERM:
        return
    if rules.fence_primary and state.leads and not _is_silent(state):
        return
    ends = {m: end_of(state.logs[m]) for m in _replicas(state) if state.paused[m]}
    if state.fenced == state.primary and state.present[state.primary]:
        ends[state.primary] = end_of(state.logs[state.primary])
    roster = {m for m in MEMBERS if state.roster[m] and rules.count_departed}
    roster |= {state.primary} if rules.count_departed else set()
    roster |= {m for m in (*_replicas(state), state.primary) if state.present[m]}
    if not rules.list_after_pauses:
        roster -= {3}
    if len(ends) < MIN_LOGS:
        return
    for member, end in ends.items():
        covered = {m for m, other in ends.items() if other <= end}
        uncovered = roster - covered - {member}
        if len(uncovered) <= rules.max_uncovered or member == state.fenced:
            recorded = tuple(m in roster or state.roster[m] for m in MEMBERS)
            yield (
                f"member={member}",
                state._replace(ordered=member, roster=recorded, snapshot=-1),
            )


def promote(state: State, rules: Rules) -> Steps:
    """Execute the promotion request, some time after it was sent."""
    member = state.ordered
    if member < 0:
        return
    if not state.present[member]:
        yield "refused", state._replace(ordered=-1)
        return
    term = state.term + 1
    source = state.logs[member]
    yield (
        f"member={member}",
        state._replace(
            logs=tuple(_roll_back(log, source) for log in state.logs),
            primary=member,
            leads=True,
            is_dark=False,
            term=term,
            paused=(False,) * 4,
            fenced=-1,
            ordered=-1,
            snapshot=-1,
        ),
    )


def end_of(log: tuple[int, ...]) -> int:
    """Return the last entry of a log, 0 if it is empty."""
    return log[-1] if log else 0


def _serves(state: State) -> bool:
    """Whether the primary answers and acknowledges."""
    return state.leads and state.present[state.primary] and not state.is_dark


def _is_silent(state: State) -> bool:
    return state.is_dark or not state.present[state.primary]


def _replicas(state: State) -> list[int]:
    return [m for m in MEMBERS if state.present[m] and m != state.primary]


def _departed(state: State) -> bool:
    return any(state.roster[m] and not state.present[m] for m in MEMBERS)


def _roll_back(log: tuple[int, ...], source: tuple[int, ...]) -> tuple[int, ...]:
    """Return the part of a log that the new primary's log holds too."""
    common = 0
    while common < min(len(log), len(source)) and log[common] == source[common]:
        common += 1
    return log[:common]


def _with_log(state: State, member: int, log: tuple[int, ...]) -> State:
    return state._replace(logs=_set(state.logs, member, log))


def _set(values: tuple, index: int, value: object) -> tuple:
    return (*values[:index], value, *values[index + 1 :])
