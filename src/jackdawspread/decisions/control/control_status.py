"""Parts of the control state that other tasks and operators receive."""

from jackdawspread.decisions.control.authority import authority_deadline
from jackdawspread.decisions.control.control_state import ControlState
from jackdawspread.decisions.control.effective_limits import effective_limits
from jackdawspread.decisions.control.owner_assignments import is_live, owner_addresses
from jackdawspread.decisions.control.ownership_state import NO_OWNERS
from jackdawspread.messages.control_snapshot import ControlSnapshot

LIVENESS_TIMEOUT_S = 1.2


def snapshot(state: ControlState, now: float) -> ControlSnapshot:
    """Return the snapshot for the gateway and the owners."""
    return ControlSnapshot(
        incarnation=state.incarnation,
        authority_deadline=authority_deadline(state, now),
        configuration=state.configuration,
        withdrawn_key_ids=frozenset(state.withdrawal_by_key_id),
        unsettled_views=state.views,
        owner_addresses_by_database={
            name: owner_addresses(state, name, now)
            for name in state.max_connections_by_database
        },
    )


def status_body(state: ControlState, now: float) -> dict[str, object]:
    """Return configuration, members, owners, terms and authority for operators."""
    document = state.configuration
    return {
        "configuration": document,
        "effective_limits": {
            name: effective_limits(document, name)
            for name in document["workspace_by_name"]
        },
        "incarnation": state.incarnation,
        "epoch": state.view.epoch,
        "is_settled": state.view.epoch > 0 and len(state.views) == 1,
        "authority_left_ms": max(0, int(1000 * _authority_left(state, now))),
        "is_platform_up": state.is_platform_up,
        "pending_withdrawals": sorted(state.withdrawal_by_key_id),
        "members": [
            {
                "incarnation": name,
                "peer_address": member.peer_address,
                "failure_domain": member.failure_domain,
                "is_live": is_live(state, name, LIVENESS_TIMEOUT_S, now),
            }
            for name, member in state.view.member_by_incarnation.items()
        ],
        "databases": {
            name: _database_status(state, name, now)
            for name in state.max_connections_by_database
        },
    }


def _authority_left(state: ControlState, now: float) -> float:
    return max(0.0, authority_deadline(state, now) - now)


def _database_status(state: ControlState, name: str, now: float) -> dict[str, object]:
    ownership = state.ownership_by_database.get(name, NO_OWNERS)
    return {
        "generation": ownership.generation,
        "seats": list(ownership.owners),
        "is_settled": not ownership.previous,
        "live_addresses": list(owner_addresses(state, name, now)),
        "term": ownership.term,
        "primary": ownership.primary,
        "is_leaving": name in state.configuration["leaving_databases"],
    }
