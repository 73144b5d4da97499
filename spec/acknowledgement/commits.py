"""Actions of the instances that acknowledge commits."""

from collections.abc import Iterator

from spec.acknowledgement.instance import (
    NO_PERMIT,
    NONE,
    PERMIT,
    UNDECIDED,
    Instance,
)
from spec.acknowledgement.members import MEMBERS, bit, replaced, replicas
from spec.acknowledgement.rules import Rules
from spec.acknowledgement.state import AWAY, State

Steps = Iterator[tuple[str, State]]
WAIT = -1


def write(state: State, rules: Rules) -> Steps:
    """Send a commit to the primary; the outcome of an earlier one stays unknown.

    The check for a suspension is made before, so one may have begun meanwhile.
    """
    log = state.logs[state.primary]
    entry = _next_entry(state, rules)
    if entry is None:
        return
    for index, instance in enumerate(state.instances):
        sent = _without_commit(instance)._replace(
            entry=entry, position=len(log), member=state.primary
        )
        longer = replaced(state.logs, state.primary, (*log, entry))
        yield f"instance={index}", _with(state, index, sent)._replace(logs=longer)


def write_elsewhere(state: State, rules: Rules) -> Steps:
    """Append a commit of an instance that acknowledges nothing any more."""
    entry = _next_entry(state, rules)
    if rules.other_writes and entry is not None:
        longer = (*state.logs[state.primary], entry)
        yield "", state._replace(logs=replaced(state.logs, state.primary, longer))


def answer(state: State, rules: Rules) -> Steps:
    """Answer a commit that one replica, listed or not, has received."""
    for index, instance in enumerate(state.instances):
        if not instance.entry or instance.is_answered or not state.leads:
            continue
        if instance.member != state.primary or instance.entry // 10 != state.term:
            continue
        if any(instance.entry in state.logs[m] for m in replicas(state)):
            end = state.logs[state.primary][-1] if rules.check_acknowledged else 0
            answered = instance._replace(is_answered=True, end=end)
            yield f"instance={index}", _with(state, index, answered)


def decide(state: State, rules: Rules) -> Steps:
    """Apply the rule for a commit to an answer."""
    for index, instance in enumerate(state.instances):
        if not instance.is_answered or instance.remaining != UNDECIDED:
            continue
        members = members_to_verify(state, instance, rules)
        if members == WAIT:
            continue
        if members:
            waiting = instance._replace(remaining=members)
            yield f"instance={index} verify={members:b}", _with(state, index, waiting)
        else:
            after = _acknowledged(state, index, rules)
            yield f"instance={index} acknowledged", after


def verify(state: State, rules: Rules) -> Steps:
    """See from a status that a member has received a commit."""
    for index, instance in enumerate(state.instances):
        for member in MEMBERS:
            if instance.remaining <= 0 or not instance.remaining & bit(member):
                continue
            if not state.present[member] or not shows(state, instance, member, rules):
                continue
            remaining = instance.remaining & ~bit(member)
            left = instance._replace(remaining=remaining)
            after = _with(state, index, left)
            label = f"instance={index} member={member}"
            if remaining:
                yield label, after
            else:
                yield f"{label} acknowledged", _acknowledged(after, index, rules)


def shows(state: State, instance: Instance, member: int, rules: Rules) -> bool:
    """Return whether a status shows that a member has received a commit.

    The member that answered has to be still in the term of the commit. The log of
    another one may hold the commit in a later term too.
    """
    log = state.logs[member]
    if not rules.verify_term:
        return len(log) > instance.position
    is_in_term = instance.entry // 10 == state.term
    return instance.entry in log and (is_in_term or member != instance.member)


def read_evidence(state: State, rules: Rules) -> Steps:
    """Read the record from the store, which gives a permit."""
    if state.store == AWAY:
        return
    for index, instance in enumerate(state.instances):
        known = _learn(state, instance, rules)._replace(permit=PERMIT)
        yield f"instance={index}", _with(state, index, known)


def hear(state: State, rules: Rules) -> Steps:
    """Receive an announcement; a late one changes nothing."""
    for index, instance in enumerate(state.instances):
        yield f"instance={index}", _with(state, index, _learn(state, instance, rules))
        if not rules.permit_needs_evidence:
            permitted = instance._replace(permit=PERMIT)
            yield f"instance={index} late", _with(state, index, permitted)


def lose_permit(state: State, rules: Rules) -> Steps:
    """Let a permit lapse."""
    for index, instance in enumerate(state.instances):
        lapsed = instance._replace(permit=NO_PERMIT)
        yield f"instance={index}", _with(state, index, lapsed)


def members_to_verify(state: State, instance: Instance, rules: Rules) -> int:
    """Return the members that have to receive a commit, or that it has to wait."""
    own = bit(instance.member)
    if not rules.check_outstanding:
        return 0
    if instance.is_suspended:
        return WAIT
    outstanding = instance.outstanding
    listed = sum(
        bit(m)
        for m in MEMBERS
        if state.roster[m] and state.present[m] and (rules.lists_are_current or m < 3)
    )
    everyone = (listed | outstanding) & ~own
    if instance.permit == NO_PERMIT and rules.verify_without_permit:
        return everyone or WAIT
    if instance.is_changed and rules.verify_after_change:
        if instance.ordered not in (NONE, instance.member):
            return everyone or WAIT
        if instance.ordered == instance.member and rules.verify_own_term:
            return (outstanding & ~own) | own
    if outstanding & own and not rules.verify_at_others_than_requested:
        return 0
    return outstanding & ~own


def _next_entry(state: State, rules: Rules) -> int | None:
    """Return the entry that the primary writes next, None at the bounds."""
    written = sum(entry // 10 == state.term for entry in state.logs[state.primary])
    if not state.leads or written == rules.max_commits:
        return None
    if state.term > rules.max_written_term:
        return None
    return 10 * state.term + written


def _learn(state: State, instance: Instance, rules: Rules) -> Instance:
    is_changed = (state.token, state.outstanding) != (
        instance.token,
        instance.outstanding,
    )
    if rules.suspension_is_change:
        is_changed = is_changed or state.is_suspended != instance.is_suspended
    is_again = rules.decide_again and is_changed
    if rules.check_acknowledged and state.token != instance.token:
        instance = instance._replace(
            told_certain=instance.certain, told_shown=instance.shown
        )
    return instance._replace(
        token=state.token,
        is_suspended=state.is_suspended,
        outstanding=state.outstanding,
        ordered=state.ordered,
        remaining=UNDECIDED if is_again else instance.remaining,
        is_changed=instance.entry > 0 and (instance.is_changed or is_changed),
    )


def _acknowledged(state: State, index: int, rules: Rules) -> State:
    instance = state.instances[index]
    known = tuple(sorted({*state.acknowledged, instance.entry}))
    if rules.check_acknowledged:
        instance = instance._replace(
            certain=max(instance.certain, _certain_position(instance, rules)),
            shown=max(instance.shown, instance.end),
        )
    after = _with(state, index, _without_commit(instance))
    return after._replace(acknowledged=known)


def _certain_position(instance: Instance, rules: Rules) -> int:
    """Return a position that a commit has reached whatever others have written.

    It is in the term of its answer, and after the end that an earlier answer has shown.
    """
    if rules.certain_is_exact:
        return instance.entry
    first = 10 * (instance.end // 10)
    return max(first, instance.shown + 1 if instance.shown >= first else 0)


def _without_commit(instance: Instance) -> Instance:
    return instance._replace(
        entry=0,
        position=0,
        member=NONE,
        is_answered=False,
        is_changed=False,
        remaining=UNDECIDED,
        end=0,
    )


def _with(state: State, index: int, instance: Instance) -> State:
    return state._replace(instances=replaced(state.instances, index, instance))
