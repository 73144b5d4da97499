"""Withdrawals that an instance knows of, and those that its peers may miss."""

from collections.abc import Iterable

from jackdawspread.decisions.control.control_state import ControlState
from jackdawspread.decisions.control.control_timing import WITHDRAWAL_TAKEOVER_S
from jackdawspread.decisions.control.withdrawal import Withdrawal


def is_stored(state: ControlState, key_id: str) -> bool:
    """Return whether the known configuration shows a key as withdrawn."""
    key = state.configuration["key_by_id"].get(key_id)
    return key is not None and key["withdrawn"]


def may_confirm(state: ControlState) -> bool:
    """Return whether this instance may confirm withdrawals in its epoch.

    After a promise, the next view may be written without the withdrawals that
    arrive later. A confirmation of these would not be valid in the next epoch.
    """
    return state.is_member and state.promised_epoch < state.view.epoch


def missing_withdrawals(state: ControlState, version: int) -> tuple[str, ...]:
    """Return the withdrawals unknown to a peer with this configuration version."""
    key_ids = set(state.withdrawal_by_key_id)
    if version < state.configuration["version"]:
        keys = state.configuration["key_by_id"].items()
        key_ids |= {key_id for key_id, key in keys if key["withdrawn"]}
    return tuple(sorted(key_ids))


def may_have_unknown_keys(state: ControlState) -> bool:
    """Return whether a withdrawn key may be only in a newer configuration."""
    return any(
        withdrawal.key_id not in state.configuration["key_by_id"]
        and state.platform_read_at <= withdrawal.started_at
        for withdrawal in state.withdrawal_by_key_id.values()
    )


def add_withdrawals(
    state: ControlState, key_ids: Iterable[str], now: float
) -> ControlState:
    """Record withdrawals, so that their keys are refused from now on."""
    withdrawals = dict(state.withdrawal_by_key_id)
    for key_id in key_ids:
        if not is_stored(state, key_id):
            new = Withdrawal(key_id, now, now + WITHDRAWAL_TAKEOVER_S)
            withdrawals.setdefault(key_id, new)
    return state._replace(withdrawal_by_key_id=withdrawals)
