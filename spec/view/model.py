"""Model of the view: an instance joins, then leaves, while others lag."""

from functools import partial

from spec.model import Model
from spec.mutant import Mutant
from spec.view import actions
from spec.view.instance import Instance
from spec.view.rules import Rules
from spec.view.state import State

MEMBER = Instance(1, 0, 2, 0, 0, 0, 0, 0b10)
JOINING = Instance(0, 0, 0, 0, 0, 0, 0, 0)


def shares_within_total(rules: Rules, state: State) -> bool:
    """Check that the usable shares of all instances never exceed the total."""
    shares = [
        actions.usable_share(index, instance, rules)
        for index, instance in enumerate(state.instances)
    ]
    return sum(shares) <= actions.TOTAL_SHARE


def canonical(state: State) -> State:
    """Return the state with instances 0 and 1, which are interchangeable, sorted."""
    first, second, third = state.instances
    swap = (0, 2, 1, 3, 4, 6, 5, 7)

    def swapped(instance: Instance) -> Instance:
        return instance._replace(
            voters=swap[instance.voters], contacts=swap[instance.contacts]
        )

    other = State(
        state.epoch,
        swap[state.promises],
        (swapped(second), swapped(first), swapped(third)),
    )
    return min(state, other)


RULES = Rules()
SHARES = "shares-within-whole"
MODEL = Model(
    name="view-join-leave",
    initial=State(1, 0, (MEMBER, MEMBER, JOINING)),
    rules=RULES,
    actions=(
        actions.promise,
        actions.change_view,
        actions.read_platform,
        actions.send_heartbeat,
        actions.vote,
        actions.receive_contact,
        actions.tick,
    ),
    invariants={SHARES: partial(shares_within_total, RULES)},
    canonical=canonical,
    mutants=(
        Mutant(
            "row-without-earlier-views",
            RULES._replace(row_has_earlier_views=False),
            SHARES,
        ),
        Mutant(
            "newcomer-uses-share-at-once",
            RULES._replace(joining_waits_for_settlement=False),
            SHARES,
        ),
        Mutant(
            "settles-at-first-peer",
            RULES._replace(settle_needs_every_member=False),
            SHARES,
        ),
        Mutant("settles-early", RULES._replace(settle_ticks=1), SHARES),
        Mutant(
            "change-quorum-too-small", RULES._replace(change_quorum_short_by=1), SHARES
        ),
        Mutant(
            "promise-does-not-fence",
            RULES._replace(promise_stops_votes=False),
            SHARES,
        ),
        Mutant("promise-forgotten", RULES._replace(promise_is_kept=False), SHARES),
        Mutant(
            "validity-counted-from-answer",
            RULES._replace(count_from_send_time=False),
            SHARES,
        ),
    ),
)
JOIN_REMOVE = RULES._replace(views=(0, 0b011, 0b111, 0b110))
MODEL_JOIN_REMOVE = MODEL._replace(
    name="view-join-remove",
    rules=JOIN_REMOVE,
    invariants={SHARES: partial(shares_within_total, JOIN_REMOVE)},
    canonical=None,
    mutants=(),
)
JOIN_THREE = RULES._replace(views=(0, 0b0111, 0b1111), validity=1, settle_ticks=1)
SHORT = MEMBER._replace(authority=1)
MODEL_JOIN_THREE = MODEL._replace(
    name="view-join-three",
    initial=State(1, 0, (SHORT, SHORT, SHORT, JOINING)),
    rules=JOIN_THREE,
    invariants={SHARES: partial(shares_within_total, JOIN_THREE)},
    canonical=None,
    mutants=(
        Mutant(
            "change-quorum-too-small",
            JOIN_THREE._replace(change_quorum_short_by=1),
            SHARES,
        ),
    ),
)
