"""Actions of callers, owners and members for one request id."""

from collections.abc import Iterator

from spec.binding.attempt import Attempt
from spec.binding.rules import Rules
from spec.binding.state import State
from spec.replicas import steps
from spec.replicas.entry import Entry
from spec.replicas.member import Member

Steps = Iterator[tuple[str, State]]
LAST_TERM = 3
WRITE = "write"
SUBMISSIONS = ((0, 1), (2,))


def with_attempt(state: State, index: int, attempt: Attempt) -> State:
    """Return the state with one attempt replaced."""
    attempts = state.attempts[:index] + (attempt,) + state.attempts[index + 1 :]
    return state._replace(attempts=attempts)


def promote(state: State, rules: Rules) -> Steps:
    """Replace the primary."""
    for name, members in steps.promotions(state.members, LAST_TERM):
        yield name, state._replace(members=members)


def replicate(state: State, rules: Rules) -> Steps:
    """Follow a primary by one entry."""
    for name, members in steps.replications(state.members):
        yield name, state._replace(members=members)


def send(state: State, rules: Rules) -> Steps:
    """Send an attempt, also while an earlier one may still be in flight."""
    for submission, attempts in enumerate(SUBMISSIONS):
        if state.not_run[submission]:
            continue
        for index in attempts:
            if state.attempts[index].stage != "idle":
                continue
            for term in {m.promised for m in state.members if m.primary}:
                sent = Attempt("sent", term, 0)
                yield f"attempt={index} term={term}", with_attempt(state, index, sent)
            break


def recorded_position(member: Member, rules: Rules) -> int:
    """Return the position of the recorded write, 0 if there is none."""
    if not rules.look_up_record:
        return 0
    for position, entry in enumerate(member.log, 1):
        known = rules.replicate_record or entry.term == member.promised
        if entry.kind == WRITE and known:
            return position
    return 0


def deliver(state: State, rules: Rules) -> Steps:
    """Run the write, return its record, or refuse a term without a primary."""
    for index, attempt in enumerate(state.attempts):
        if attempt.stage != "sent":
            continue
        refused = attempt._replace(stage="refused")
        if all(m.promised != attempt.term or not m.primary for m in state.members):
            yield f"attempt={index} refused", with_attempt(state, index, refused)
        for at, member in enumerate(state.members):
            if not member.primary or member.promised != attempt.term:
                continue
            position = recorded_position(member, rules)
            name = f"attempt={index} replayed"
            if not position:
                log = member.log + (Entry(attempt.term, WRITE),)
                member = member._replace(log=log)
                position = len(log)
                name = f"attempt={index} ran"
            ran = attempt._replace(stage="ran", position=position)
            members = steps.with_member(state.members, at, member)
            after = state._replace(members=members)
            yield f"{name} member={at}", with_attempt(after, index, ran)


def acknowledge(state: State, rules: Rules) -> Steps:
    """Acknowledge a write, or its replay, once a second member confirms it."""
    for index, attempt in enumerate(state.attempts):
        if attempt.stage != "ran" or state.not_run[index // 2]:
            continue
        for at, member in enumerate(state.members):
            if not member.primary or member.promised != attempt.term:
                continue
            first_run = member.log[attempt.position - 1].term == attempt.term
            needed = rules.confirm_first_run if first_run else rules.confirm_replay
            if needed and not steps.confirmed(state.members, at, attempt.position):
                continue
            term = min(state.acknowledged or attempt.term, attempt.term)
            yield f"attempt={index}", state._replace(acknowledged=term)


def refuse(state: State, rules: Rules) -> Steps:
    """Report to the caller that its submission was not run."""
    for submission, indexes in enumerate(SUBMISSIONS):
        stages = [state.attempts[index].stage for index in indexes]
        used = [stage for stage in stages if stage != "idle"]
        refused = used[-1:] == ["refused"]
        if rules.all_attempts_refused:
            refused = refused and set(used) == {"refused"}
        if not rules.not_found_is_unknown:
            refused = refused or any(
                member.primary and used and not recorded_position(member, rules)
                for member in state.members
            )
        if refused:
            not_run = (state.not_run[0] or submission == 0, submission == 1)
            if submission == 0:
                not_run = (True, state.not_run[1])
            yield f"submission={submission}", state._replace(not_run=not_run)
