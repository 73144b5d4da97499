"""State of the control decisions."""

from typing import NamedTuple

from jackdawspread.decisions.control.ownership_state import OwnershipState
from jackdawspread.decisions.control.pending_call import PendingCall
from jackdawspread.decisions.control.platform_row import PlatformRow
from jackdawspread.decisions.control.platform_write import PlatformWrite
from jackdawspread.decisions.control.view_proposal import ViewProposal
from jackdawspread.decisions.control.withdrawal import Withdrawal
from jackdawspread.messages.admin_change import AdminChange
from jackdawspread.messages.configuration_document import ConfigurationDocument
from jackdawspread.messages.view import View

NEVER = float("-inf")


class ControlState(NamedTuple):
    """State of the control task of an instance.

    Containers are replaced, never changed, so a state can be kept and compared.
    Times are monotonic, in seconds.

    Parameters
    ----------
    views : tuple of View
        Last settled view and all later ones, including those that this instance
        skipped. A view is settled when no instance can still act on an older one.
        A view of epoch 0 without members comes first while an instance joins and
        if views of skipped epochs are unknown.
    view_seen_at : float
        Time at which the newest view was adopted.
    promised_epoch : int
        Greatest epoch that this instance no longer votes for.
    address_by_incarnation : dict of str to str
        Peer addresses of the members of ``views``.
    voted_at_by_incarnation : dict of str to float
        Time at which the heartbeat was sent that was answered by the member's last
        vote for the newest epoch.
    platform_read_at : float
        Time at which the last successful read of the platform was sent.
    platform_epoch_read_at : float
        Time at which the last read of the platform was sent that showed the newest
        epoch.
    row_by_key : dict of str to PlatformRow
        Newest rows read from the platform.
    queued_changes : tuple of AdminChange
        Changes to be stored, in order; a write of the first one may be pending.
    """

    incarnation: str
    peer_address: str
    failure_domain: str
    max_connections_by_database: dict[str, int]
    configuration: ConfigurationDocument
    incarnation_renewals: int = 0
    views: tuple[View, ...] = (View(0, {}),)
    view_seen_at: float = NEVER
    promised_epoch: int = 0
    promised_at: float = NEVER
    proposal: ViewProposal | None = None
    is_leaving: bool = False
    may_leave_view: bool = False
    leaving_incarnations: frozenset[str] = frozenset()
    last_contact_at_by_incarnation: dict[str, float] = {}
    address_by_incarnation: dict[str, str] = {}
    epoch_by_incarnation: dict[str, int] = {}
    voted_at_by_incarnation: dict[str, float] = {}
    sent_at_by_sequence: dict[int, float] = {}
    sequence: int = 0
    platform_read_at: float = NEVER
    platform_epoch_read_at: float = NEVER
    is_platform_up: bool = False
    row_by_key: dict[str, PlatformRow] = {}
    call_by_id: dict[int, PendingCall] = {}
    write_by_key: dict[str, PlatformWrite] = {}
    next_id: int = 1
    next_poll_at: float = NEVER
    next_heartbeat_at: float = NEVER
    ticked_at: float = NEVER
    ownership_by_database: dict[str, OwnershipState] = {}
    withdrawal_by_key_id: dict[str, Withdrawal] = {}
    queued_changes: tuple[AdminChange, ...] = ()
    has_retried_change: bool = False

    @property
    def view(self) -> View:
        """Newest known view."""
        return self.views[-1]

    @property
    def is_member(self) -> bool:
        """Whether this incarnation is a member of the newest view."""
        return self.incarnation in self.view.member_by_incarnation
