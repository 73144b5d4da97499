"""Model of the view: an instance joins, then leaves, while others lag."""

from functools import partial

from spec.model import Model
from spec.mutant import Mutant
from spec.view import actions
from spec.view.instance import Instance
from spec.view.rules import Rules
from spec.view.state import State

MEMBER = Instance(1, 0, 2, 0, 0, 0, 0, 0b10)
NEWCOMER = Instance(0, 0, 0, 0, 0, 0, 0, 0)


def within_whole(rules: Rules, state: State) -> bool:
    """The usable shares of all instances never exceed the whole."""
    shares = [
        actions.usable(index, instance, rules)
        for index, instance in enumerate(state.instances)
    ]
    return sum(shares) <= actions.WHOLE


def canonical(state: State) -> State:
    """Return the state with instances 0 and 1, which are alike, in sorted order."""
    first, second, third = state.instances
    swap = (0, 2, 1, 3, 4, 6, 5, 7)

    def swapped(instance: Instance) -> Instance:
        return instance._replace(
            vouchers=swap[instance.vouchers], heard=swap[instance.heard]
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
    initial=State(1, 0, (MEMBER, MEMBER, NEWCOMER)),
    rules=RULES,
    actions=(
        actions.promise,
        actions.change_view,
        actions.read_platform,
        actions.ask,
        actions.vouch,
        actions.hear,
        actions.tick,
    ),
    invariants={SHARES: partial(within_whole, RULES)},
    canonical=canonical,
    mutants=(
        Mutant(
            "row-without-earlier-views",
            RULES._replace(row_has_earlier_views=False),
            SHARES,
        ),
        Mutant(
            "newcomer-uses-share-at-once",
            RULES._replace(newcomer_waits_for_settlement=False),
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
            RULES._replace(count_from_asking=False),
            SHARES,
        ),
    ),
)
JOIN_REMOVE = RULES._replace(views=(0, 0b011, 0b111, 0b110))
MODEL_JOIN_REMOVE = MODEL._replace(
    name="view-join-remove",
    rules=JOIN_REMOVE,
    invariants={SHARES: partial(within_whole, JOIN_REMOVE)},
    canonical=None,
    mutants=(),
)
JOIN_THREE = RULES._replace(views=(0, 0b0111, 0b1111), validity=1, settle_ticks=1)
SHORT = MEMBER._replace(authority=1)
MODEL_JOIN_THREE = MODEL._replace(
    name="view-join-three",
    initial=State(1, 0, (SHORT, SHORT, SHORT, NEWCOMER)),
    rules=JOIN_THREE,
    invariants={SHARES: partial(within_whole, JOIN_THREE)},
    canonical=None,
    mutants=(
        Mutant(
            "change-quorum-too-small",
            JOIN_THREE._replace(change_quorum_short_by=1),
            SHARES,
        ),
    ),
)
