"""Actions of the store that lists the members and keeps the record of the lock.

While it is away no member is listed, and no record is read or written. Members that
live are listed some time after its return; the list may lack them until then.
"""

from collections.abc import Iterator

from spec.acknowledgement.members import MEMBERS
from spec.acknowledgement.rules import Rules
from spec.acknowledgement.state import AWAY, RETURNED, SETTLED, State

Steps = Iterator[tuple[str, State]]


def come_back(state: State, rules: Rules) -> Steps:
    """End the outage; a list may lack members that have joined in it."""
    if state.store == AWAY:
        yield "", state._replace(store=RETURNED)


def settle(state: State, rules: Rules) -> Steps:
    """Let the time pass after which every member that lives is listed."""
    is_whole = all(state.roster[m] for m in MEMBERS if state.present[m])
    if state.store == RETURNED and is_whole:
        yield "", state._replace(store=SETTLED)
