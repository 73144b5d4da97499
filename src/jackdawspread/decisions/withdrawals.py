"""Withdrawals of keys until the configuration shows them."""

from jackdawspread.decisions.authority import change_quorum
from jackdawspread.decisions.configuration_changes import apply_change, refuse
from jackdawspread.decisions.configuration_store import KEY, is_row_current, store
from jackdawspread.decisions.control_state import ControlState
from jackdawspread.decisions.control_step import ControlStep, Effect
from jackdawspread.decisions.control_timing import (
    WITHDRAWAL_ANSWER_S,
    WITHDRAWAL_TAKEOVER_S,
)
from jackdawspread.decisions.heartbeats import to_peers
from jackdawspread.decisions.withdrawal import Withdrawal
from jackdawspread.messages.admin_answer import AdminAnswer
from jackdawspread.messages.admin_result import AdminResult
from jackdawspread.messages.control_log import ControlLog
from jackdawspread.messages.key_withdrawal import KeyWithdrawal
from jackdawspread.messages.key_withdrawal_answer import KeyWithdrawalAnswer
from jackdawspread.messages.peer_send import PeerSend
from jackdawspread.messages.withdraw_key import WithdrawKey


def is_stored(state: ControlState, key_id: str) -> bool:
    """Whether the configuration shows a key as withdrawn."""
    key = state.configuration["key_by_id"].get(key_id)
    return key is not None and key["withdrawn"]


def is_in_force(state: ControlState, withdrawal: Withdrawal) -> bool:
    """Whether enough members refuse the key.

    A member without the withdrawal then cannot gather a vouch quorum, because
    each of these members sends the withdrawal before it vouches.
    """
    members = state.view.member_by_incarnation
    needed = max(1, change_quorum(len(members)))
    return len(withdrawal.confirmed & set(members)) >= needed


def start_withdrawal(
    state: ControlState, key_id: str, admin_id: str, now: float
) -> ControlStep:
    """Refuse a key here at once and tell the peers."""
    if key_id not in state.configuration["key_by_id"]:
        version = state.configuration["version"]
        detail = f"no key has this id in version {version} of the configuration"
        refusal = refuse("unknown_key", detail)
        return state, (AdminResult(admin_id, refusal),)
    ours = frozenset({state.incarnation})
    new = Withdrawal(key_id, ours, now, now)
    known = state.withdrawal_by_key_id.get(key_id, new)
    known = known._replace(
        started_at=now, store_at=now, admin_ids=(*known.admin_ids, admin_id)
    )
    state = _put(state, known)
    log = ControlLog(f"admin: withdrawing key_id={key_id[:8]}")
    sends = to_peers(state, KeyWithdrawal(key_id, key_id))
    state, answered = answer_withdrawals(state, now)
    return state, (log, *sends, *answered)


def learn_withdrawal(
    state: ControlState, message: KeyWithdrawal, address: str, now: float
) -> ControlStep:
    """Refuse a key from now on and confirm it to the peer."""
    answer = KeyWithdrawalAnswer(state.incarnation, message.withdrawal_id)
    reply = PeerSend(address, answer)
    key_id = message.key_id
    if is_stored(state, key_id) or key_id in state.withdrawal_by_key_id:
        return state, (reply,)
    ours = frozenset({state.incarnation})
    store_at = now + WITHDRAWAL_TAKEOVER_S
    state = _put(state, Withdrawal(key_id, ours, now, store_at))
    log = ControlLog(f"control: withdrew key_id={key_id[:8]} peer={address}")
    return state, (reply, log)


def count_withdrawal(
    state: ControlState, message: KeyWithdrawalAnswer, now: float
) -> ControlStep:
    """Count the confirmation of a peer."""
    known = state.withdrawal_by_key_id.get(message.withdrawal_id)
    if known is None:
        return state, ()
    confirmed = known.confirmed | {message.incarnation}
    return answer_withdrawals(_put(state, known._replace(confirmed=confirmed)), now)


def answer_withdrawals(state: ControlState, now: float) -> ControlStep:
    """Answer operators and forget the withdrawals that are stored."""
    effects: tuple[Effect, ...] = ()
    remaining = {}
    for key_id, known in state.withdrawal_by_key_id.items():
        stored = is_stored(state, key_id)
        in_force = stored or is_in_force(state, known)
        if in_force or now >= known.started_at + WITHDRAWAL_ANSWER_S:
            body = _body(state, known, stored, in_force)
            effects += tuple(
                AdminResult(admin_id, AdminAnswer(body)) for admin_id in known.admin_ids
            )
            known = known._replace(admin_ids=())
        if not stored:
            remaining[key_id] = known
    return state._replace(withdrawal_by_key_id=remaining), effects


def store_withdrawals(state: ControlState, now: float) -> ControlStep:
    """Store the withdrawals that are due, in one write, until they are stored."""
    document = state.configuration
    due = [
        known.key_id
        for known in state.withdrawal_by_key_id.values()
        if now >= known.store_at and known.key_id in document["key_by_id"]
    ]
    if not due or not state.is_platform_up or KEY in state.write_by_key:
        return state, ()
    if not is_row_current(state):
        return state._replace(next_poll_at=now), ()
    for key_id in due:
        document = apply_change(document, WithdrawKey(key_id)).ok
    state, effects = store(state, document, now)
    return state, (*effects, ControlLog(f"control: storing withdrawals={len(due)}"))


def _body(
    state: ControlState, known: Withdrawal, stored: bool, in_force: bool
) -> dict[str, object]:
    members = state.view.member_by_incarnation
    return {
        "key_id": known.key_id,
        "state": "in_force" if in_force else "pending",
        "stored": stored,
        "confirmed_by": sorted(
            member.peer_address
            for name, member in members.items()
            if name in known.confirmed
        ),
        "members": len(members),
    }


def _put(state: ControlState, known: Withdrawal) -> ControlState:
    withdrawals = {**state.withdrawal_by_key_id, known.key_id: known}
    return state._replace(withdrawal_by_key_id=withdrawals)
