"""Heartbeats between instances and the votes in their answers."""

from jackdawspread.decisions.control.control_state import ControlState
from jackdawspread.decisions.control.control_step import ControlStep, Effect
from jackdawspread.decisions.control.control_timing import (
    AUTHORITY_S,
    HEARTBEAT_INTERVAL_S,
)
from jackdawspread.decisions.control.known_withdrawals import (
    add_withdrawals,
    missing_withdrawals,
)
from jackdawspread.messages.configuration_push import ConfigurationPush
from jackdawspread.messages.heartbeat import Heartbeat
from jackdawspread.messages.heartbeat_answer import HeartbeatAnswer
from jackdawspread.messages.key_withdrawal import KeyWithdrawal
from jackdawspread.messages.leaving import Leaving
from jackdawspread.messages.peer_message import PeerMessage
from jackdawspread.messages.send_peer_message import SendPeerMessage


def send_to_peers(state: ControlState, message: PeerMessage) -> tuple[Effect, ...]:
    """Return the effects that send a message to every other member."""
    return tuple(
        SendPeerMessage(member.peer_address, message)
        for name, member in state.view.member_by_incarnation.items()
        if name != state.incarnation and member.peer_address != state.peer_address
    )


def send_heartbeats(state: ControlState, now: float) -> ControlStep:
    """Send a heartbeat to every other member, if one is due."""
    if now < state.next_heartbeat_at:
        return state, ()
    sequence = state.sequence + 1
    sent_at_by_sequence = {
        old: at
        for old, at in state.sent_at_by_sequence.items()
        if now < at + AUTHORITY_S
    }
    state = state._replace(
        sequence=sequence,
        next_heartbeat_at=now + HEARTBEAT_INTERVAL_S,
        sent_at_by_sequence={**sent_at_by_sequence, sequence: now},
    )
    heartbeat = Heartbeat(
        state.incarnation, state.view.epoch, sequence, state.configuration["version"]
    )
    effects = send_to_peers(state, heartbeat)
    if state.is_leaving:
        # Sent with each heartbeat, because the first announcement may be lost.
        effects += send_to_peers(state, Leaving(state.incarnation))
    return state, effects


def record_contact(
    state: ControlState, incarnation: str, epoch: int, now: float
) -> ControlState:
    """Record the time of last contact with an incarnation and its epoch."""
    contact_times = state.last_contact_at_by_incarnation
    epochs = state.epoch_by_incarnation
    members = {name for view in state.views for name in view.member_by_incarnation}
    if incarnation not in members:
        return state
    epochs = {name: at for name, at in epochs.items() if name in members}
    return state._replace(
        last_contact_at_by_incarnation={**contact_times, incarnation: now},
        epoch_by_incarnation={
            **epochs,
            incarnation: max(epoch, epochs.get(incarnation, 0)),
        },
    )


def answer_heartbeat(
    state: ControlState, heartbeat: Heartbeat, address: str, now: float
) -> ControlStep:
    """Answer a heartbeat, with a vote if the sender is a member in this epoch.

    An instance that promised a change of its view does not vote.
    """
    state = record_contact(state, heartbeat.incarnation, heartbeat.epoch, now)
    view = state.view
    grants_vote = (
        heartbeat.epoch == view.epoch
        and state.promised_epoch < view.epoch
        and state.is_member
        and heartbeat.incarnation in view.member_by_incarnation
    )
    answer = HeartbeatAnswer(
        state.incarnation,
        view.epoch,
        view.epoch if grants_vote else 0,
        heartbeat.sequence,
        state.configuration["version"],
        # A peer whose authority this vote extends thus knows these withdrawals.
        missing_withdrawals(state, heartbeat.configuration_version),
    )
    # Requests the confirmations again, because earlier ones may be lost.
    effects: tuple[Effect, ...] = tuple(
        SendPeerMessage(address, KeyWithdrawal(key_id, key_id))
        for key_id in state.withdrawal_by_key_id
    )
    effects += (SendPeerMessage(address, answer),)
    return state, effects + _push(state, heartbeat.configuration_version, address)


def count_vote(
    state: ControlState, answer: HeartbeatAnswer, address: str, now: float
) -> ControlStep:
    """Count a vote from the time at which the heartbeat was sent."""
    state = record_contact(state, answer.incarnation, answer.epoch, now)
    state = add_withdrawals(state, answer.withdrawn_key_ids, now)
    sent_at = state.sent_at_by_sequence.get(answer.sequence)
    if sent_at is not None and answer.voted_epoch == state.view.epoch:
        voted_at = state.voted_at_by_incarnation
        latest = max(sent_at, voted_at.get(answer.incarnation, sent_at))
        voted_at = {**voted_at, answer.incarnation: latest}
        state = state._replace(voted_at_by_incarnation=voted_at)
    return state, _push(state, answer.configuration_version, address)


def _push(state: ControlState, version: int, address: str) -> tuple[Effect, ...]:
    if version >= state.configuration["version"]:
        return ()
    return (SendPeerMessage(address, ConfigurationPush(state.configuration)),)
