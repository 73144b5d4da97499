"""What an attempt knows of the members and of the acknowledged commits."""

from collections.abc import Iterable

from spec.acknowledgement.attempt import SWITCHOVER, Attempt
from spec.acknowledgement.instance import Instance
from spec.acknowledgement.members import MEMBERS, replicas
from spec.acknowledgement.rules import Rules
from spec.acknowledgement.state import RETURNED, State


def end_of(log: tuple[int, ...]) -> int:
    """Return the last entry of a log, 0 if it is empty."""
    return log[-1] if log else 0


def listed_replicas(state: State) -> set[int]:
    """Return the replicas that the list names and that answer."""
    return {m for m in replicas(state) if state.roster[m]}


def named_members(state: State, rules: Rules) -> set[int]:
    """Return the members of the roster and of a list that is read now."""
    is_whole = not rules.late_entries and state.store != RETURNED
    return {m for m in MEMBERS if state.roster[m] or (is_whole and state.present[m])}


def unknown_members(state: State, has_primary_log: bool, rules: Rules) -> int:
    """Return how many members a list that is read now may lack."""
    if has_primary_log and not rules.count_unlisted_when_demoted:
        return 0
    return int(rules.count_unlisted and state.store == RETURNED)


def told_positions(
    attempt: Attempt, instances: Iterable[Instance], rules: Rules
) -> Attempt:
    """Return the attempt with the highest positions that instances have told.

    Those of an earlier attempt are told before the token of this one is known.
    """
    if not rules.check_acknowledged:
        return attempt
    choose = max if rules.positions_of_all else min
    return attempt._replace(
        certain=choose((i.told_certain for i in instances), default=0),
        shown=choose((i.told_shown for i in instances), default=0),
    )


def reaches_acknowledged(state: State, member: int, rules: Rules) -> bool:
    """Return whether the log of a member reaches what was acknowledged.

    The certain position is enough once attempts have been refused for some time, by
    which the list names every member.
    """
    attempt = state.attempt
    end = end_of(state.logs[member])
    if not rules.check_acknowledged:
        return True
    if attempt.kind == SWITCHOVER and not rules.check_switchover:
        return True
    is_whole = all(state.roster[m] for m in MEMBERS if state.present[m])
    may_fall_back = rules.falls_back and is_whole or rules.fall_back_at_once
    return end >= (attempt.certain if may_fall_back else attempt.shown)
