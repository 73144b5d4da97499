"""Withdrawals of keys until the configuration shows them."""

from jackdawspread.decisions.control.authority import view_change_quorum
from jackdawspread.decisions.control.configuration_changes import (
    refuse,
    with_withdrawals,
)
from jackdawspread.decisions.control.configuration_store import (
    KEY,
    is_configuration_row_current,
    is_configuration_write_pending,
    store,
)
from jackdawspread.decisions.control.control_state import ControlState
from jackdawspread.decisions.control.control_step import ControlStep, Effect
from jackdawspread.decisions.control.control_timing import WITHDRAWAL_ANSWER_S
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


def is_in_force(state: ControlState, known: Withdrawal) -> bool:
    """Whether no instance can have authority for long without the withdrawal.

    Either all members confirmed it, or it is stored and enough of them confirmed
    it: then no other member gathers a vouch quorum, and one that reads the
    platform reads it. Only rows read there count as stored; a document that a peer
    pushed may have been stored in a later epoch than ours.
    """
    members = set(state.view.member_by_incarnation)
    confirmed = len(known.confirmed & members)
    if not members or known.epoch != state.view.epoch:
        return False
    is_enough = confirmed >= view_change_quorum(len(members)) and _is_read(state, known)
    return is_enough or confirmed == len(members)


def _is_read(state: ControlState, known: Withdrawal) -> bool:
    row = state.row_by_key.get(KEY, ABSENT)
    key = row.value.get("key_by_id", {}).get(known.key_id)
    return key is not None and bool(key["withdrawn"])


def start_withdrawal(
    state: ControlState, key_id: str, admin_request_id: str, now: float
) -> ControlStep:
    """Refuse a key here at once and tell the peers."""
    if key_id not in state.configuration["key_by_id"]:
        version = state.configuration["version"]
        detail = f"no key has this id in version {version} of the configuration"
        refusal = refuse("unknown_key", detail)
        return state, (AdminResult(admin_request_id, refusal),)
    new = Withdrawal(key_id, now, now)
    known = state.withdrawal_by_key_id.get(key_id, new)
    known = known._replace(
        started_at=now,
        store_at=now,
        admin_request_ids=(*known.admin_request_ids, admin_request_id),
    )
    state = _put(state, known)
    log = ControlLog(f"admin: withdrawing key_id={key_id[:8]}")
    sends = send_to_peers(state, KeyWithdrawal(key_id, key_id))
    state, answered = answer_withdrawals(state, now)
    return state, (log, *sends, *answered)


def apply_key_withdrawal(
    state: ControlState, message: KeyWithdrawal, address: str, now: float
) -> ControlStep:
    """Refuse a key from now on and confirm it to the peer."""
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
    """Count the confirmation of a peer in our epoch."""
    known = state.withdrawal_by_key_id.get(message.withdrawal_id)
    if known is None or message.epoch != state.view.epoch:
        return state, ()
    known = _confirmed_here(state, known)
    known = known._replace(confirmed=known.confirmed | {message.incarnation})
    return answer_withdrawals(_put(state, known), now)


def _confirmed_here(state: ControlState, known: Withdrawal) -> Withdrawal:
    """Return the withdrawal in our epoch, with our own confirmation if it counts."""
    epoch = state.view.epoch
    if known.epoch != epoch:
        known = known._replace(epoch=epoch, confirmed=frozenset())
    if may_confirm(state):
        ours = known.confirmed | {state.incarnation}
        known = known._replace(confirmed=ours)
    return known


def answer_withdrawals(state: ControlState, now: float) -> ControlStep:
    """Answer operators and forget the withdrawals that are stored."""
    effects: tuple[Effect, ...] = ()
    remaining = {}
    for key_id, earlier in state.withdrawal_by_key_id.items():
        known = _confirmed_here(state, earlier)
        in_force = is_in_force(state, known)
        if in_force or now >= known.started_at + WITHDRAWAL_ANSWER_S:
            body = _body(state, known, in_force)
            effects += tuple(
                AdminResult(admin_request_id, AdminAnswer(body))
                for admin_request_id in known.admin_request_ids
            )
            known = known._replace(admin_request_ids=())
        if known.admin_request_ids or not is_stored(state, key_id):
            remaining[key_id] = known
    return state._replace(withdrawal_by_key_id=remaining), effects


def store_withdrawals(state: ControlState, now: float) -> ControlStep:
    """Store the withdrawals that are due, in one write, until they are stored.

    The write expects the view of this instance, so that whoever reads a later
    view reads the withdrawals too.
    """
    due = [
        known.key_id
        for known in state.withdrawal_by_key_id.values()
        if now >= known.store_at
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
    state, effects = store(state, document, now, is_view_expected=True)
    return state, (*effects, ControlLog(f"control: storing withdrawals={len(due)}"))


def _body(state: ControlState, known: Withdrawal, in_force: bool) -> dict[str, object]:
    members = state.view.member_by_incarnation
    return {
        "key_id": known.key_id,
        "state": "in_force" if in_force else "pending",
        "stored": is_stored(state, known.key_id),
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
