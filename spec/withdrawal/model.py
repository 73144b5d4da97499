"""Model of the withdrawal of one key during one change of view."""

from spec.model import Model
from spec.mutant import Mutant
from spec.withdrawal import actions
from spec.withdrawal.instance import Instance
from spec.withdrawal.rules import Rules
from spec.withdrawal.state import State

MEMBER = Instance(1, 0, False, actions.VALIDITY, 0)
JOINING = Instance(0, 0, False, 0, 0)


def withdrawn_key(state: State) -> bool:
    """Check that every instance with authority knows the withdrawal in time."""
    return state.reported != 0 or all(
        instance.knows for instance in state.instances if instance.authority
    )


RULES = Rules()
KEY = "withdrawn-key"
MODEL = Model(
    name="withdrawal",
    initial=State(1, 0, 0, (0, 0, 0), None, (MEMBER, MEMBER, JOINING)),
    rules=RULES,
    actions=(
        actions.withdraw,
        actions.broadcast,
        actions.confirm,
        actions.store,
        actions.report,
        actions.promise,
        actions.change_view,
        actions.read_platform,
        actions.send_heartbeat,
        actions.vote,
        actions.tick,
    ),
    invariants={KEY: withdrawn_key},
    mutants=(
        Mutant("quorum-without-platform", RULES._replace(stored_is_needed=False), KEY),
        Mutant(
            "platform-without-quorum",
            RULES._replace(change_quorum_is_needed=False),
            KEY,
        ),
        Mutant(
            "confirm-after-promise",
            RULES._replace(promise_stops_confirming=False),
            KEY,
        ),
        Mutant(
            "store-in-any-epoch", RULES._replace(store_expects_own_epoch=False), KEY
        ),
        Mutant(
            "vouch-without-withdrawal",
            RULES._replace(vote_carries_withdrawal=False),
            KEY,
        ),
        Mutant(
            "view-change-without-withdrawal",
            RULES._replace(view_change_stores_withdrawal=False),
            KEY,
        ),
        Mutant(
            "read-without-withdrawals",
            RULES._replace(read_includes_withdrawals=False),
            KEY,
        ),
    ),
)
