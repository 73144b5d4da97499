"""Actions of the holder of the promotion lock.

It may stop between any two steps, and its lock may expire; a call that it has sent may
still be executed. A second holder acts only once the lock of the first has expired, and
the first finds that out at its next write, so one attempt at a time is enough.
"""

from collections.abc import Iterator

from spec.acknowledgement.attempt import (
    FAILOVER,
    IDLE,
    SWITCHOVER,
    WITHDRAWAL,
    Attempt,
)
from spec.acknowledgement.comparison import (
    end_of,
    listed_replicas,
    named_members,
    reaches_acknowledged,
    told_positions,
    unknown_members,
)
from spec.acknowledgement.instance import NONE, OLD_PERMIT, PERMIT, Instance
from spec.acknowledgement.members import MEMBERS, bit, replicas
from spec.acknowledgement.rules import Rules
from spec.acknowledgement.state import AWAY, State

Steps = Iterator[tuple[str, State]]


def acquire(state: State, rules: Rules) -> Steps:
    """Acquire the lock, and write what the fence announces."""
    if not state.is_free or state.token == rules.max_tokens or state.store == AWAY:
        return
    earlier = state.outstanding if rules.keep_requests else 0
    taken = state._replace(
        token=state.token + 1,
        is_free=False,
        outstanding=earlier,
        instances=tuple(_age(instance) for instance in state.instances),
    )
    for kind in rules.kinds:
        attempt = Attempt(kind, earlier)
        if not rules.positions_at_fence:
            attempt = told_positions(attempt, state.instances, rules)
        if kind == FAILOVER:
            yield kind, taken._replace(is_suspended=True, attempt=attempt)
        elif kind == WITHDRAWAL and state.leads and earlier:
            yield kind, _recorded(taken, attempt, state.primary, rules)
        elif kind == SWITCHOVER and state.leads:
            for member in replicas(state):
                if state.roster[member]:
                    after = _recorded(taken, attempt, member, rules)
                    yield f"{kind} member={member}", after


def fence(state: State, rules: Rules) -> Steps:
    """Find that no instance acknowledges by a state from before the write.

    Nobody acknowledges either while the primary is demoted and no earlier request may
    make a member the primary, but then nobody has told what was acknowledged.
    """
    attempt = state.attempt
    if not attempt.kind or attempt.is_fenced:
        return
    fenced = attempt._replace(is_fenced=True)
    is_demoted = attempt.kind == FAILOVER and not state.leads
    needed = {
        FAILOVER: rules.fence_failover,
        SWITCHOVER: rules.fence_switchover,
        WITHDRAWAL: rules.fence_withdrawal,
    }[attempt.kind]
    if not needed or all(_is_fenced(state, i, rules) for i in state.instances):
        confirmed = [i for i in state.instances if i.token == state.token]
        if rules.positions_at_fence:
            fenced = told_positions(fenced, confirmed, rules)
        yield "", state._replace(attempt=fenced)
    elif (
        is_demoted
        and not rules.await_fence_when_demoted
        and (not attempt.earlier or rules.skip_fence_despite_requests)
    ):
        fenced = fenced._replace(has_primary_log=rules.compare_demoted)
        yield "demoted", state._replace(attempt=fenced)


def compare(state: State, rules: Rules) -> Steps:
    """Compare the paused logs and choose a member.

    At most one member of the roster, or one that the list names or may lack, may have
    no answer or a longer log. A demoted primary counts like a replica.
    """
    attempt = state.attempt
    if attempt.kind != FAILOVER or not attempt.is_fenced or attempt.target >= 0:
        return
    if state.store == AWAY:
        return
    known = {m for m in MEMBERS if state.present[m] and state.roster[m]}
    if state.leads:
        known -= {state.primary}
    counted = named_members(state, rules)
    for missing in (NONE, *known):
        if missing == state.primary and attempt.has_primary_log:
            continue
        seen = known - {missing}
        has_primary_log = state.primary in seen
        unknown = unknown_members(state, has_primary_log, rules)
        for member in seen:
            log = state.logs[member]
            ahead = sum(end_of(state.logs[m]) > end_of(log) for m in seen)
            if len(counted - seen) + ahead + unknown > 1:
                continue
            if reaches_acknowledged(state, member, rules):
                target = attempt._replace(target=member)
                yield f"member={member}", state._replace(attempt=target)


def read_end(state: State, rules: Rules) -> Steps:
    """Read the end of the primary's log after the pauses of a switchover."""
    attempt = state.attempt
    if attempt.kind != SWITCHOVER or not attempt.is_fenced or not state.leads:
        return
    if attempt.end == NONE:
        end = end_of(state.logs[state.primary])
        yield "", state._replace(attempt=attempt._replace(end=end))


def catch_up(state: State, rules: Rules) -> Steps:
    """See that the replica of a switchover has received the primary's log."""
    attempt = state.attempt
    if attempt.kind != SWITCHOVER or attempt.end == NONE or attempt.target >= 0:
        return
    if end_of(state.logs[attempt.requested]) < attempt.end:
        return
    if reaches_acknowledged(state, attempt.requested, rules):
        caught_up = attempt._replace(target=attempt.requested)
        yield "", state._replace(attempt=caught_up)


def catch_up_with_replicas(state: State, rules: Rules) -> Steps:
    """See that the replica of a switchover has the logs of the other listed ones.

    The primary does not answer, so it may be the only member whose log is missing.
    """
    attempt = state.attempt
    if attempt.kind != SWITCHOVER or not attempt.is_fenced or attempt.target >= 0:
        return
    if not rules.silent_primary or state.store == AWAY:
        return
    member = attempt.requested
    seen = listed_replicas(state)
    is_newest = all(
        end_of(state.logs[member]) >= end_of(state.logs[other]) for other in seen
    )
    missing = len(named_members(state, rules) - seen)
    if missing + unknown_members(state, False, rules) > 1 or not is_newest:
        return
    if member in seen and reaches_acknowledged(state, member, rules):
        caught_up = attempt._replace(target=member)
        yield "", state._replace(attempt=caught_up)


def check_primary(state: State, rules: Rules) -> Steps:
    """See after the fence of a withdrawal that the primary still leads."""
    attempt = state.attempt
    if attempt.kind != WITHDRAWAL or not attempt.is_fenced or attempt.target >= 0:
        return
    is_leading = state.leads and state.primary == attempt.requested
    if is_leading or not rules.check_primary_after_fence:
        checked = attempt._replace(target=attempt.requested)
        yield "", state._replace(attempt=checked)


def request(state: State, rules: Rules) -> Steps:
    """Record the member, unless that was done before the fence, and send the call."""
    attempt = state.attempt
    target = attempt.target
    if target < 0 or attempt.is_requested or state.store == AWAY:
        return
    recorded = bit(target) if attempt.kind == FAILOVER else 0
    after = state._replace(
        attempt=attempt._replace(is_requested=True),
        calls=tuple(sorted({*state.calls, (state.token, target)})),
        is_suspended=False,
        is_free=False,
        outstanding=state.outstanding | recorded,
        ordered=target,
    )
    yield f"token={state.token} member={target}", after


def end_with_effect(state: State, rules: Rules) -> Steps:
    """Receive the only answer to the call, and see that its member leads."""
    attempt = state.attempt
    if not attempt.is_requested or state.highest_token != state.token:
        return
    is_effective = state.leads and state.primary == attempt.target
    if is_effective or not rules.end_needs_effect:
        call = (state.token, attempt.target)
        pending = tuple(c for c in state.calls if not is_effective or c != call)
        yield "", _ended(state)._replace(calls=pending, outstanding=0)


def end_with_refusal(state: State, rules: Rules) -> Steps:
    """Receive a definite refusal of the call."""
    attempt = state.attempt
    call = (state.token, attempt.target)
    if attempt.is_requested and state.highest_token < state.token:
        kept = attempt.earlier if rules.keep_earlier_at_refusal else 0
        outstanding = (state.outstanding & ~bit(attempt.target)) | (
            kept & bit(attempt.target)
        )
        calls = tuple(c for c in state.calls if c != call)
        yield "", _ended(state)._replace(calls=calls, outstanding=outstanding)


def end_without_request(state: State, rules: Rules) -> Steps:
    """End an attempt that has sent no call."""
    attempt = state.attempt
    if attempt.kind and not attempt.is_requested:
        yield "", _ended(state)._replace(outstanding=attempt.earlier)


def expire(state: State, rules: Rules) -> Steps:
    """Let the lock expire; its holder can't write any more."""
    if state.attempt.kind and not state.is_free:
        yield "", _ended(state)
        if not rules.write_needs_lock and not state.attempt.is_requested:
            yield "late write", state._replace(is_free=True, is_suspended=False)


def _ended(state: State) -> State:
    return state._replace(attempt=IDLE, is_free=True, is_suspended=False)


def _recorded(state: State, attempt: Attempt, member: int, rules: Rules) -> State:
    is_recorded = attempt.kind != WITHDRAWAL or rules.record_withdrawal
    return state._replace(
        attempt=attempt._replace(requested=member),
        outstanding=state.outstanding | (bit(member) if is_recorded else 0),
        ordered=member,
    )


def _age(instance: Instance) -> Instance:
    is_old = instance.permit == PERMIT
    return instance._replace(permit=OLD_PERMIT if is_old else instance.permit)


def _is_fenced(state: State, instance: Instance, rules: Rules) -> bool:
    """Return whether an instance knows the announced state or has no old permit."""
    known = instance.token == state.token
    if rules.all_confirm:
        return known
    return known or instance.permit != OLD_PERMIT or not rules.await_permits
