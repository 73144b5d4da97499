"""Decides whether a commit may be acknowledged."""

from jackdawspread.decisions.acknowledgement.acknowledge_commit import AcknowledgeCommit
from jackdawspread.decisions.acknowledgement.group_view import GroupView
from jackdawspread.decisions.acknowledgement.verify_commit import VerifyCommit
from jackdawspread.decisions.acknowledgement.wait_for_state import WaitForState

AcknowledgementDecision = AcknowledgeCommit | VerifyCommit | WaitForState


def decide_acknowledgement(
    view: GroupView,
    is_permitted: bool,
    member: str,
    sent_at: float,
    listed: frozenset[str],
) -> AcknowledgementDecision:
    """Decide about a commit that a member has answered.

    Parameters
    ----------
    view : GroupView
        What is known of the promotions of the group.
    is_permitted : bool
        Whether that is recent.
    member : str
        Member that answered.
    sent_at : float
        Time in seconds of the boot-time clock at which the statement was sent.
    listed : frozenset of str
        Listed members of the group.
    """
    state = view.state
    if state.is_suspended:
        return WaitForState()
    outstanding = frozenset(state.outstanding) - {member}
    is_changed = view.changed_at >= sent_at and bool(state.last_requested)
    if not is_permitted or (is_changed and state.last_requested != member):
        return VerifyCommit((listed | outstanding) - {member})
    if is_changed:
        # Another member may have led before this one was requested again.
        return VerifyCommit(outstanding | {member})
    return VerifyCommit(outstanding) if outstanding else AcknowledgeCommit()
