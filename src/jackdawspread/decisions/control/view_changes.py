"""View changes: proposals, promises and the write of the next view."""

from jackdawspread.decisions.control.authority import view_change_quorum
from jackdawspread.decisions.control.configuration_changes import with_withdrawals
from jackdawspread.decisions.control.configuration_store import (
    CONFIGURATION_ROW_KEY,
    is_configuration_row_current,
    is_configuration_write_pending,
    next_version,
)
from jackdawspread.decisions.control.control_state import ControlState
from jackdawspread.decisions.control.control_step import ControlStep, Effect
from jackdawspread.decisions.control.control_timing import (
    MEMBER_TIMEOUT_S,
    PLATFORM_READ_MAX_AGE_S,
    PROMISE_TIMEOUT_S,
    PROPOSAL_RESEND_INTERVAL_S,
    PROPOSAL_TIMEOUT_S,
)
from jackdawspread.decisions.control.known_withdrawals import (
    add_withdrawals,
    may_have_unknown_keys,
)
from jackdawspread.decisions.control.platform_writes import start_write
from jackdawspread.decisions.control.view_proposal import ViewProposal
from jackdawspread.decisions.control.views import decode_views, encode_view
from jackdawspread.messages.control_log import ControlLog
from jackdawspread.messages.send_peer_message import SendPeerMessage
from jackdawspread.messages.view import View
from jackdawspread.messages.view_change_promise import ViewChangePromise
from jackdawspread.messages.view_change_request import ViewChangeRequest
from jackdawspread.messages.view_member import ViewMember


def is_platform_fresh(state: ControlState, now: float) -> bool:
    """Return whether the platform answered a recent read."""
    return (
        state.is_platform_up and now < state.platform_read_at + PLATFORM_READ_MAX_AGE_S
    )


def timed_out_members(state: ControlState, now: float) -> frozenset[str]:
    """Return the other members without contact for `MEMBER_TIMEOUT_S`."""
    return frozenset(
        name
        for name in state.view.member_by_incarnation
        if name != state.incarnation
        and now
        >= state.last_contact_at_by_incarnation.get(name, now) + MEMBER_TIMEOUT_S
    )


def next_members(state: ControlState, now: float) -> dict[str, ViewMember]:
    """Return the members that the next view should have.

    An earlier incarnation at this instance's address is dead, because this process
    has bound its listening address.
    """
    timed_out = timed_out_members(state, now)
    members = {
        name: member
        for name, member in state.view.member_by_incarnation.items()
        if name not in timed_out
        and (name == state.incarnation or member.peer_address != state.peer_address)
    }
    if state.may_leave_view:
        members.pop(state.incarnation, None)
    else:
        own_member = ViewMember(state.peer_address, state.failure_domain)
        members[state.incarnation] = own_member
    return members


def advance_proposal(state: ControlState, now: float) -> ControlStep:
    """Start or abandon a proposal, send its requests again, or write its view."""
    proposal = state.proposal
    if proposal is not None and now >= proposal.started_at + PROPOSAL_TIMEOUT_S:
        state = state._replace(proposal=None)
        return state, (
            ControlLog(f"control: abandoned proposal epoch={proposal.epoch}"),
        )
    if proposal is None:
        return (
            _start_proposal(state, now)
            if _is_change_needed(state, now)
            else (state, ())
        )
    effects: tuple[Effect, ...] = ()
    if now >= proposal.requested_at + PROPOSAL_RESEND_INTERVAL_S:
        state = state._replace(proposal=proposal._replace(requested_at=now))
        effects = _send_requests(state)
    state, written = write_view_if_promised(state, now)
    return state, effects + written


def _is_change_needed(state: ControlState, now: float) -> bool:
    if not is_platform_fresh(state, now) or "view" in state.write_by_key:
        return False
    desired = next_members(state, now)
    if desired == state.view.member_by_incarnation:
        wait = PROMISE_TIMEOUT_S + 0.2 * _proposal_rank(state)
        is_pending = state.promised_epoch >= state.view.epoch > 0
        return is_pending and now >= state.promised_at + wait
    if state.incarnation in desired and state.is_member:
        # Members are only to be removed. The first member of the view proposes the
        # removal; the others follow one after another in case it does not.
        timed_out = timed_out_members(state, now)
        last_contact_at = state.last_contact_at_by_incarnation
        since = max((last_contact_at.get(name, now) for name in timed_out), default=now)
        return now >= since + MEMBER_TIMEOUT_S + _proposal_rank(state)
    return not state.is_leaving or state.may_leave_view and state.is_member


def _proposal_rank(state: ControlState) -> int:
    names = sorted(state.view.member_by_incarnation)
    return names.index(state.incarnation) if state.incarnation in names else len(names)


def _start_proposal(state: ControlState, now: float) -> ControlStep:
    epoch = state.view.epoch
    state = _promise(state, epoch, now)
    promised = frozenset(
        name
        for name, member in state.view.member_by_incarnation.items()
        if name == state.incarnation or member.peer_address == state.peer_address
    )
    state = state._replace(proposal=ViewProposal(epoch, now, now, promised))
    log = ControlLog(f"control: proposed view change epoch={epoch}")
    state, written = write_view_if_promised(state, now)
    return state, (log, *_send_requests(state), *written)


def _send_requests(state: ControlState) -> tuple[Effect, ...]:
    request = ViewChangeRequest(state.incarnation, state.view.epoch)
    return tuple(
        SendPeerMessage(member.peer_address, request)
        for member in state.view.member_by_incarnation.values()
        if member.peer_address != state.peer_address
    )


def _promise(state: ControlState, epoch: int, now: float) -> ControlState:
    if epoch <= state.promised_epoch:
        return state
    # The instance's own vote for its epoch ended with the first promise that covers
    # the epoch.
    is_covered = 0 < state.view.epoch <= state.promised_epoch
    promised_at = state.promised_at if is_covered else now
    return state._replace(promised_epoch=epoch, promised_at=promised_at)


def answer_view_change_request(
    state: ControlState, request: ViewChangeRequest, address: str, now: float
) -> ControlStep:
    """Promise to vote no more for an epoch, or refuse.

    The promise is refused for an older epoch, and if the platform has not answered
    a read recently.
    """
    if not is_platform_fresh(state, now) or request.epoch < state.view.epoch:
        log = f"control: refused promise epoch={request.epoch} peer={address}"
        return state, (ControlLog(log),)
    state = _promise(state, request.epoch, now)
    key_ids = tuple(sorted(state.withdrawal_by_key_id))
    promise = ViewChangePromise(state.incarnation, request.epoch, key_ids)
    log = f"control: promised epoch={request.epoch} peer={address}"
    return state, (SendPeerMessage(address, promise), ControlLog(log))


def count_promise(
    state: ControlState, promise: ViewChangePromise, address: str, now: float
) -> ControlStep:
    """Count a promise.

    A new incarnation also promises for an earlier one at the same address.
    """
    state = add_withdrawals(state, promise.withdrawn_key_ids, now)
    proposal = state.proposal
    if proposal is None or promise.epoch != proposal.epoch:
        return state, ()
    promised = {
        name
        for name, member in state.view.member_by_incarnation.items()
        if name == promise.incarnation or member.peer_address == address
    }
    proposal = proposal._replace(promised=proposal.promised | promised)
    return write_view_if_promised(state._replace(proposal=proposal), now)


def write_view_if_promised(state: ControlState, now: float) -> ControlStep:
    """Write the next view once a view change quorum has promised.

    The same transaction stores the withdrawals that these members know of, so no
    instance reads the new view without them.
    """
    proposal = state.proposal
    needed = view_change_quorum(len(state.view.member_by_incarnation))
    if proposal is None or len(proposal.promised) < needed:
        return state, ()
    if proposal.epoch != state.view.epoch or "view" in state.write_by_key:
        return state, ()
    view = View(proposal.epoch + 1, next_members(state, now))
    row = state.row_by_key.get("view")
    value = encode_view(view, decode_views(row.value) if row else ())
    if may_have_unknown_keys(state):
        return state._replace(next_poll_at=now), ()
    document = with_withdrawals(state.configuration, state.withdrawal_by_key_id)
    if document == state.configuration:
        return start_write(state._replace(proposal=None), "view", value, now)
    if is_configuration_write_pending(state):
        return state, ()
    if not is_configuration_row_current(state):
        return state._replace(next_poll_at=now), ()
    stored = {CONFIGURATION_ROW_KEY: dict(next_version(state, document))}
    state = state._replace(proposal=None)
    return start_write(state, "view", value, now, "", (CONFIGURATION_ROW_KEY,), stored)
