"""What an instance knows of withdrawals and tells its peers."""

from collections.abc import Iterable

from jackdawspread.decisions.control.control_state import ControlState
from jackdawspread.decisions.control.control_timing import WITHDRAWAL_TAKEOVER_S
from jackdawspread.decisions.control.withdrawal import Withdrawal


def is_stored(state: ControlState, key_id: str) -> bool:
    """Whether the configuration shows a key as withdrawn."""
    key = state.configuration["key_by_id"].get(key_id)
    return key is not None and key["withdrawn"]


def may_confirm(state: ControlState) -> bool:
    """Whether this instance may confirm withdrawals in its epoch.

    After a promise the next view may be written without a withdrawal that is
    learned later, so such a confirmation would count for nothing.
    """
    return state.is_member and state.promised_epoch < state.view.epoch


def missing_withdrawals(state: ControlState, version: int) -> tuple[str, ...]:
    """Return the withdrawals that a peer with a configuration version may miss."""
    known = set(state.withdrawal_by_key_id)
    if version < state.configuration["version"]:
        keys = state.configuration["key_by_id"].items()
        known |= {key_id for key_id, key in keys if key["withdrawn"]}
    return tuple(sorted(known))


def may_have_unknown_keys(state: ControlState) -> bool:
    """Whether a withdrawn key may be in a newer configuration than ours."""
    return any(
        known.key_id not in state.configuration["key_by_id"]
        and state.platform_read_at <= known.started_at
        for known in state.withdrawal_by_key_id.values()
    )


def add_withdrawals(
    state: ControlState, key_ids: Iterable[str], now: float
) -> ControlState:
    """Refuse withdrawn keys from now on."""
    withdrawals = dict(state.withdrawal_by_key_id)
    for key_id in key_ids:
        if not is_stored(state, key_id):
            new = Withdrawal(key_id, now, now + WITHDRAWAL_TAKEOVER_S)
            withdrawals.setdefault(key_id, new)
    return state._replace(withdrawal_by_key_id=withdrawals)
