"""Withdrawals of keys: distribution to the peers, confirmation and storing."""

from jackdawspread.decisions.control.authority import view_change_quorum
from jackdawspread.decisions.control.configuration_changes import (
    refuse,
    with_withdrawals,
)
from jackdawspread.decisions.control.configuration_store import (
    CONFIGURATION_ROW_KEY,
    is_configuration_row_current,
    is_configuration_write_pending,
    store_configuration,
)
from jackdawspread.decisions.control.control_state import ControlState
from jackdawspread.decisions.control.control_step import ControlStep, Effect
from jackdawspread.decisions.control.control_timing import WITHDRAWAL_ANSWER_TIMEOUT_S
from jackdawspread.decisions.control.heartbeats import send_to_peers
from jackdawspread.decisions.control.known_withdrawals import (
    add_withdrawals,
    is_stored,
    may_confirm,
)
from jackdawspread.decisions.control.platform_writes import ABSENT
from jackdawspread.decisions.control.withdrawal import Withdrawal
from jackdawspread.messages.admin_answer import AdminAnswer
from jackdawspread.messages.admin_result import AdminResult
from jackdawspread.messages.control_log import ControlLog
from jackdawspread.messages.key_withdrawal import KeyWithdrawal
from jackdawspread.messages.key_withdrawal_answer import KeyWithdrawalAnswer
from jackdawspread.messages.send_peer_message import SendPeerMessage


def is_in_force(state: ControlState, withdrawal: Withdrawal) -> bool:
    """Return whether every instance that keeps authority knows of the withdrawal.

    Either all members have confirmed it, or it is stored and a view change quorum
    has confirmed it. In the second case the other members cannot collect a vote
    quorum, and a member that reads the platform reads the withdrawal. Only rows read
    from the platform count as stored, because a document that a peer pushed may have
    been stored in a later epoch than this instance's.
    """
    members = set(state.view.member_by_incarnation)
    confirmed = len(withdrawal.confirmed & members)
    if not members or withdrawal.epoch != state.view.epoch:
        return False
    is_enough = confirmed >= view_change_quorum(
        len(members)
    ) and _is_stored_in_read_row(state, withdrawal)
    return is_enough or confirmed == len(members)


def _is_stored_in_read_row(state: ControlState, withdrawal: Withdrawal) -> bool:
    row = state.row_by_key.get(CONFIGURATION_ROW_KEY, ABSENT)
    key = row.value.get("key_by_id", {}).get(withdrawal.key_id)
    return key is not None and bool(key["withdrawn"])


def start_withdrawal(
    state: ControlState, key_id: str, admin_request_id: str, now: float
) -> ControlStep:
    """Refuse a key on this instance at once and notify the peers."""
    if key_id not in state.configuration["key_by_id"]:
        version = state.configuration["version"]
        detail = f"no key has this id in version {version} of the configuration"
        refusal = refuse("unknown_key", detail)
        return state, (AdminResult(admin_request_id, refusal),)
    new = Withdrawal(key_id, now, now)
    withdrawal = state.withdrawal_by_key_id.get(key_id, new)
    withdrawal = withdrawal._replace(
        started_at=now,
        store_at=now,
        admin_request_ids=(*withdrawal.admin_request_ids, admin_request_id),
    )
    state = _with_withdrawal(state, withdrawal)
    log = ControlLog(f"admin: withdrawing key_id={key_id[:8]}")
    sends = send_to_peers(state, KeyWithdrawal(key_id, key_id))
    state, answered = answer_withdrawals(state, now)
    return state, (log, *sends, *answered)


def apply_key_withdrawal(
    state: ControlState, message: KeyWithdrawal, address: str, now: float
) -> ControlStep:
    """Refuse a key from now on and confirm its withdrawal to the peer."""
    key_id = message.key_id
    is_new = not is_stored(state, key_id) and key_id not in state.withdrawal_by_key_id
    state = add_withdrawals(state, (key_id,), now)
    epoch = state.view.epoch if may_confirm(state) else 0
    answer = KeyWithdrawalAnswer(state.incarnation, message.withdrawal_id, epoch)
    effects: tuple[Effect, ...] = (SendPeerMessage(address, answer),)
    if is_new:
        log = f"control: withdrew key_id={key_id[:8]} peer={address}"
        effects += (ControlLog(log),)
    return state, effects


def count_withdrawal_confirmation(
    state: ControlState, message: KeyWithdrawalAnswer, now: float
) -> ControlStep:
    """Count a peer's confirmation, if it is for the epoch of this instance."""
    withdrawal = state.withdrawal_by_key_id.get(message.withdrawal_id)
    if withdrawal is None or message.epoch != state.view.epoch:
        return state, ()
    withdrawal = _with_local_confirmation(state, withdrawal)
    withdrawal = withdrawal._replace(
        confirmed=withdrawal.confirmed | {message.incarnation}
    )
    return answer_withdrawals(_with_withdrawal(state, withdrawal), now)


def _with_local_confirmation(state: ControlState, withdrawal: Withdrawal) -> Withdrawal:
    """Return the withdrawal for the current epoch, confirmed here if allowed."""
    epoch = state.view.epoch
    if withdrawal.epoch != epoch:
        withdrawal = withdrawal._replace(epoch=epoch, confirmed=frozenset())
    if may_confirm(state):
        confirmed = withdrawal.confirmed | {state.incarnation}
        withdrawal = withdrawal._replace(confirmed=confirmed)
    return withdrawal


def answer_withdrawals(state: ControlState, now: float) -> ControlStep:
    """Answer operators and remove the withdrawals that are stored."""
    effects: tuple[Effect, ...] = ()
    remaining = {}
    for key_id, earlier in state.withdrawal_by_key_id.items():
        withdrawal = _with_local_confirmation(state, earlier)
        in_force = is_in_force(state, withdrawal)
        if in_force or now >= withdrawal.started_at + WITHDRAWAL_ANSWER_TIMEOUT_S:
            body = _result_body(state, withdrawal, in_force)
            effects += tuple(
                AdminResult(admin_request_id, AdminAnswer(body))
                for admin_request_id in withdrawal.admin_request_ids
            )
            withdrawal = withdrawal._replace(admin_request_ids=())
        if withdrawal.admin_request_ids or not is_stored(state, key_id):
            remaining[key_id] = withdrawal
    return state._replace(withdrawal_by_key_id=remaining), effects


def store_withdrawals(state: ControlState, now: float) -> ControlStep:
    """Store the withdrawals that are due in one write.

    The write expects that the view is unchanged, so every instance that reads a
    later view reads the withdrawals too.
    """
    due = [
        withdrawal.key_id
        for withdrawal in state.withdrawal_by_key_id.values()
        if now >= withdrawal.store_at
    ]
    document = with_withdrawals(state.configuration, due)
    is_needed = document != state.configuration
    if (
        not is_needed
        or not state.is_platform_up
        or is_configuration_write_pending(state)
    ):
        return state, ()
    if not is_configuration_row_current(state):
        return state._replace(next_poll_at=now), ()
    state, effects = store_configuration(state, document, now, is_view_expected=True)
    return state, (*effects, ControlLog(f"control: storing withdrawals={len(due)}"))


def _result_body(
    state: ControlState, withdrawal: Withdrawal, in_force: bool
) -> dict[str, object]:
    members = state.view.member_by_incarnation
    return {
        "key_id": withdrawal.key_id,
        "state": "in_force" if in_force else "pending",
        "stored": is_stored(state, withdrawal.key_id),
        "confirmed_by": sorted(
            member.peer_address
            for name, member in members.items()
            if name in withdrawal.confirmed
        ),
        "members": len(members),
    }


def _with_withdrawal(state: ControlState, withdrawal: Withdrawal) -> ControlState:
    withdrawals = {**state.withdrawal_by_key_id, withdrawal.key_id: withdrawal}
    return state._replace(withdrawal_by_key_id=withdrawals)
