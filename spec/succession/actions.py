"""Actions of members, instances and the platform.

After a crash the primary takes no further actions. A pause of an instance is covered
by actions not taken, during which its promotion lock may expire.
"""

from collections.abc import Iterator

from spec.succession.attempt import IDLE, Attempt
from spec.succession.rules import Rules
from spec.succession.state import State

Steps = Iterator[tuple[str, State]]
MEMBERS = (0, 1, 2)
# Stands for no primary, after it was demoted.
NONE = -1


def end_of(log: tuple[int, ...]) -> int:
    """Return the last entry of a log, 0 if it is empty."""
    return log[-1] if log else 0


def write(state: State, rules: Rules) -> Steps:
    """Append an entry at the primary."""
    log = state.logs[state.primary]
    if state.leads and len(log) < rules.max_entries:
        entry = 10 * state.term + len(log)
        yield "", _with_log(state, state.primary, (*log, entry))


def receive(state: State, rules: Rules) -> Steps:
    """Let a replica receive the primary's next entry."""
    source = state.logs[state.primary]
    for member in MEMBERS:
        log = state.logs[member]
        receives = state.leads and not state.paused[member]
        if member != state.primary and receives and log != source:
            longer = source[: len(log) + 1]
            yield f"member={member}", _with_log(state, member, longer)


def acknowledge(state: State, rules: Rules) -> Steps:
    """Acknowledge an entry that the primary and one replica hold."""
    if not state.leads:
        return
    for entry in state.logs[state.primary]:
        replicas = [m for m in MEMBERS if m != state.primary]
        held = any(entry in state.logs[member] for member in replicas)
        if held and entry not in state.acknowledged:
            known = tuple(sorted((*state.acknowledged, entry)))
            yield f"entry={entry}", state._replace(acknowledged=known)


def expire_lock(state: State, rules: Rules) -> Steps:
    """Let the lease of the promotion lock expire."""
    if not state.duty_is_free:
        yield "", state._replace(duty_is_free=True)


def take_lock(state: State, rules: Rules) -> Steps:
    """Take the promotion lock by a conditional write."""
    if not state.duty_is_free or state.duty_token == rules.max_tokens:
        return
    token = state.duty_token + 1
    named = state.duty_outstanding
    outstanding = _not_claimed(state) if rules.end_by_claim else named
    former = state.primary if state.leads else NONE
    attempt = Attempt(token, former, named, outstanding, (-1,) * 3, False, False)
    for index in range(len(state.attempts)):
        taken = _with_attempt(state, index, attempt)
        yield f"instance={index}", taken._replace(duty_token=token, duty_is_free=False)


def pause(state: State, rules: Rules) -> Steps:
    """Pause a replica and read its log's end; a primary ends the attempt."""
    for index, attempt in enumerate(state.attempts):
        if not attempt.token or attempt.has_ordered:
            continue
        for member in MEMBERS:
            if member == attempt.former or attempt.seen[member] >= 0:
                continue
            if member == state.primary and state.leads:
                yield f"instance={index} leads", _with_attempt(state, index, IDLE)
                continue
            seen = _set(attempt.seen, member, end_of(state.logs[member]))
            paused = _set(state.paused, member, True)
            changed = _with_attempt(state, index, attempt._replace(seen=seen))
            yield f"instance={index} member={member}", changed._replace(paused=paused)


def check(state: State, rules: Rules) -> Steps:
    """Read the logs once more after the last pause; an ended pause ends the attempt.

    A late promotion request ends all pauses, and may arrive between two pauses of
    this attempt.
    """
    for index, attempt in enumerate(state.attempts):
        replicas = [m for m in MEMBERS if m != attempt.former]
        paused = [m for m in replicas if attempt.seen[m] >= 0]
        if not attempt.token or attempt.has_ordered or attempt.is_checked:
            continue
        if rules.pause_all_replicas and len(paused) < len(replicas) or not paused:
            continue
        leader = state.primary if state.leads else NONE
        kept = all(state.paused[m] and m != leader for m in paused)
        seen = tuple(end_of(state.logs[m]) if m in paused else -1 for m in MEMBERS)
        checked = attempt._replace(seen=seen, is_checked=True)
        yield (
            f"instance={index}",
            _with_attempt(state, index, checked if kept else IDLE),
        )


def demote(state: State, rules: Rules) -> Steps:
    """Demote the primary and read its log's end once the replicas are paused.

    A primary whose own request may still be executed is not demoted: the request would
    make it the primary again.
    """
    for index, attempt in enumerate(state.attempts):
        former = attempt.former
        if not attempt.is_checked or attempt.has_ordered or former != state.primary:
            continue
        held = attempt.token == state.duty_token and not state.duty_is_free
        if not held or not state.leads or not rules.demotes:
            continue
        if rules.keep_requested_primary and former in attempt.named:
            continue
        seen = _set(attempt.seen, former, end_of(state.logs[former]))
        demoted = _with_attempt(state, index, attempt._replace(seen=seen))
        yield f"instance={index}", demoted._replace(leads=False)


def repeat(state: State, rules: Rules) -> Steps:
    """Request the present primary once more and receive the answer.

    Nothing changes but the highest token, so earlier requests have no effect any more.
    """
    for index, attempt in enumerate(state.attempts):
        held = attempt.token == state.duty_token and not state.duty_is_free
        is_leading = state.leads and attempt.former == state.primary
        if not held or attempt.has_ordered or not is_leading:
            continue
        others = set(attempt.outstanding) - {state.primary}
        if attempt.token < state.highest_token or (others and rules.end_by_claim):
            continue
        ended = _with_attempt(state, index, IDLE)
        yield (
            f"instance={index}",
            ended._replace(
                duty_outstanding=(),
                duty_is_free=True,
                highest_token=attempt.token,
                paused=(False,) * 3,
            ),
        )


def order(state: State, rules: Rules) -> Steps:
    """Record the chosen member and send the promotion request."""
    for index, attempt in enumerate(state.attempts):
        if not attempt.token or attempt.has_ordered or not _may_order(state, attempt):
            continue
        if rules.check_pauses and not attempt.is_checked:
            continue
        held = attempt.token == state.duty_token and not state.duty_is_free
        if rules.stop_when_lock_expired and not held:
            continue
        known = [m for m in MEMBERS if attempt.seen[m] >= 0]
        if rules.pause_all_replicas and len(known) < len(MEMBERS) - 1:
            continue
        for member in _choices(attempt, known, rules):
            ordered = _with_attempt(state, index, attempt._replace(has_ordered=True))
            yield (
                f"instance={index} member={member}",
                ordered._replace(
                    orders=tuple(sorted({*state.orders, (attempt.token, member)})),
                    duty_outstanding=_append(attempt.outstanding, member),
                    duty_is_free=not rules.keep_lock_after_order,
                ),
            )


def end_request(state: State, rules: Rules) -> Steps:
    """Take a request off the record whose only copy was answered.

    The lock is held until the promotion has taken effect; an answer that comes too late
    for that ends nothing.
    """
    for index, attempt in enumerate(state.attempts):
        held = attempt.token == state.duty_token and not state.duty_is_free
        if not attempt.has_ordered or not held or not state.duty_outstanding:
            continue
        member = state.duty_outstanding[-1]
        is_effective = state.leads and state.primary == member
        is_effective = is_effective and state.highest_token == attempt.token
        if rules.await_effect and not is_effective:
            continue
        request = (attempt.token, member)
        pending = tuple(o for o in state.orders if not is_effective or o != request)
        ended = _with_attempt(state, index, IDLE)
        yield (
            f"instance={index}",
            ended._replace(
                orders=pending, duty_outstanding=(), highest_token=attempt.token
            ),
        )


def resume(state: State, rules: Rules) -> Steps:
    """End an attempt without a promotion and resume replicas while the lock is held.

    A request of an earlier attempt may still be executed. Then only the member that it
    names is resumed, so that no other one confirms entries; with several such members
    none is. A primary that leads does not count, as it has what it confirms.
    """
    for index, attempt in enumerate(state.attempts):
        held = attempt.token == state.duty_token and not state.duty_is_free
        if not held or attempt.has_ordered:
            continue
        resumed = {m for m in MEMBERS if attempt.seen[m] >= 0}
        leader = {state.primary} if state.leads else set()
        named = set(attempt.outstanding) - leader
        if named and rules.resume_ordered_only:
            resumed = named if len(named) == 1 else set()
        paused = tuple(p and m not in resumed for m, p in enumerate(state.paused))
        ended = _with_attempt(state, index, IDLE)
        yield f"instance={index}", ended._replace(paused=paused, duty_is_free=True)


def promote(state: State, rules: Rules) -> Steps:
    """Execute a promotion request, at any time after it was sent.

    As the platform's page says, members that were ahead of the new primary are rolled
    back at that moment.
    """
    for token, member in state.orders:
        if rules.fence_orders and token < state.highest_token:
            continue
        fenced = state._replace(highest_token=max(token, state.highest_token))
        if member != state.primary or not state.leads:
            fenced = fenced._replace(
                logs=tuple(_roll_back(log, state.logs[member]) for log in state.logs),
                primary=member,
                term=state.term + 1,
                leads=True,
                paused=(False, False, False),
            )
        if fenced != state:
            yield f"token={token} member={member}", fenced


def _not_claimed(state: State) -> tuple[int, ...]:
    """Return the recorded requests after the one that made the present primary."""
    named = state.duty_outstanding
    if state.leads and state.primary in named:
        return named[named.index(state.primary) + 1 :]
    return named


def _append(outstanding: tuple[int, ...], member: int) -> tuple[int, ...]:
    return outstanding if outstanding[-1:] == (member,) else (*outstanding, member)


def _roll_back(log: tuple[int, ...], source: tuple[int, ...]) -> tuple[int, ...]:
    """Return the part of a log that the new primary's log holds too."""
    common = 0
    while common < min(len(log), len(source)) and log[common] == source[common]:
        common += 1
    return log[:common]


def _may_order(state: State, attempt: Attempt) -> bool:
    return any(seen >= 0 for seen in attempt.seen)


def _choices(attempt: Attempt, known: list[int], rules: Rules) -> list[int]:
    """Return the members that may be chosen.

    At most one log may be unknown or longer than the chosen one, as an acknowledged
    entry is in two. A requested member comes first, a demoted primary last.
    """
    if not rules.choose_most_advanced:
        return known
    counted = MEMBERS if rules.pause_all_replicas else (*known, attempt.former)
    complete = [
        member
        for member in known
        if sum(_may_have_more(attempt, other, member) for other in counted) <= 1
    ]
    preferred = [m for m in reversed(attempt.outstanding) if m in complete]
    if rules.prefer_ordered and preferred:
        return preferred[:1]
    end = max((attempt.seen[member] for member in complete), default=0)
    staying = [m for m in complete if m != attempt.former] or complete
    return [m for m in staying if attempt.seen[m] == end] or staying


def _may_have_more(attempt: Attempt, other: int, member: int) -> bool:
    if other == NONE:
        return False
    return attempt.seen[other] < 0 or attempt.seen[other] > attempt.seen[member]


def _with_log(state: State, member: int, log: tuple[int, ...]) -> State:
    return state._replace(logs=_set(state.logs, member, log))


def _with_attempt(state: State, index: int, attempt: Attempt) -> State:
    return state._replace(attempts=_set(state.attempts, index, attempt))


def _set(values: tuple, index: int, value: object) -> tuple:
    return (*values[:index], value, *values[index + 1 :])
