"""Check that a withdrawal takes effect once it is reported as ``in_force``."""

from features.fakes.control_fleet import ControlFleet

from jackdawspread.messages.admin_answer import AdminAnswer

VALIDITY_S = 3.0


def refuses_key(fleet: ControlFleet, name: str, key: str) -> bool:
    """Return whether an instance refuses a key as withdrawn."""
    state = fleet.state_by_name[name]
    known = state.configuration["key_by_id"].get(key)
    is_stored = known is not None and known["withdrawn"]
    return is_stored or key in state.withdrawal_by_key_id


def check_withdrawn(fleet: ControlFleet, key: str) -> None:
    """Check that no instance with authority accepts a key after the validity time.

    The time runs from the answer ``in_force`` to the withdrawal.
    """
    result = fleet.result_by_id.get("withdraw")
    if result is None or not isinstance(result.outcome, AdminAnswer):
        return
    is_due = fleet.now >= fleet.result_at_by_id["withdraw"] + VALIDITY_S
    if result.outcome.body["state"] != "in_force" or not is_due:
        return
    for name in fleet.state_by_name:
        assert refuses_key(fleet, name, key) or not fleet.has_authority(name), name
