"""Statuses of members compared with what the model takes them to show."""

from collections.abc import Iterator
from itertools import islice

from spec.acknowledgement.attempt import FAILOVER
from spec.acknowledgement.commits import shows
from spec.acknowledgement.instance import Instance
from spec.acknowledgement.members import MEMBERS
from spec.acknowledgement.model import MODEL_INSTANCES as MODEL
from spec.acknowledgement.model import RULES
from spec.acknowledgement.state import State

from jackdawspread.decisions.acknowledgement.received_commit import (
    has_received,
    still_leads_with,
)
from jackdawspread.messages.fleet.log_status import LogStatus
from jackdawspread.messages.position import Position

# Two commits show a log that ends before one of them, and two instances a commit of a
# term in which another member has led since.
SCOPE = RULES._replace(kinds=(FAILOVER,), max_tokens=1, max_term=2, max_commits=2)


def reachable_commits(count: int) -> Iterator[tuple[State, Instance, int]]:
    """Yield each member with a commit in progress in the first states of the search."""
    states = [MODEL.initial]
    known = set(states)
    for state in islice(states, count):
        for instance in state.instances:
            for member in MEMBERS:
                if instance.entry and state.present[member]:
                    yield state, instance, member
        for action in MODEL.actions:
            for _, following in action(state, SCOPE):
                assert MODEL.canonical is not None
                following = MODEL.canonical(following)
                if following not in known:
                    known.add(following)
                    states.append(following)


def decide(state: State, instance: Instance, member: int) -> bool:
    """Return what the code takes the status of a member to show."""
    log = state.logs[member]
    received = Position(log[-1] // 10 if log else 0, len(log))
    status = LogStatus(str(member), _leads(state, member), state.term, received)
    position = Position(instance.entry // 10, instance.position + 1)
    if member == instance.member:
        return still_leads_with(status, position)
    return has_received(status, position)


def expect(state: State, instance: Instance, member: int) -> bool:
    """Return what the model says, without the cases in which the code is stricter.

    The model also counts a demoted primary, a member that leads since, and a log that
    ends in a later term: a status does not show whether it holds the commit.
    """
    is_in_role = _leads(state, member) == (member == instance.member)
    ends_in_term = all(
        entry // 10 <= instance.entry // 10 for entry in state.logs[member]
    )
    return is_in_role and ends_in_term and shows(state, instance, member, RULES)


def _leads(state: State, member: int) -> bool:
    return state.leads and state.primary == member
