"""Rate limiters of all workspaces at one instance."""

from collections.abc import Callable
from functools import singledispatchmethod

from absl import logging
from trio import MemorySendChannel, WouldBlock

from jackdawspread.decisions.control.effective_limits import effective_limits
from jackdawspread.decisions.rates.admit_request import AdmitRequest
from jackdawspread.decisions.rates.rate_bucket import RateBucket, refill
from jackdawspread.decisions.rates.rate_limiter import (
    RateLimiter,
    decide_rate,
    next_rate_deadline,
)
from jackdawspread.decisions.rates.rate_share import RateShare, rate_share
from jackdawspread.decisions.rates.rate_timer_fired import RateTimerFired
from jackdawspread.decisions.rates.refuse_request import RefuseRequest
from jackdawspread.decisions.rates.request_arrived import RequestArrived
from jackdawspread.decisions.rates.send_spend_grant import SendSpendGrant
from jackdawspread.decisions.rates.send_spend_request import SendSpendRequest
from jackdawspread.decisions.rates.spend_grant_received import SpendGrantReceived
from jackdawspread.decisions.rates.spend_request_received import SpendRequestReceived
from jackdawspread.messages.control_snapshot import ControlSnapshot
from jackdawspread.messages.peer_message_received import PeerMessageReceived
from jackdawspread.messages.send_peer_message import SendPeerMessage
from jackdawspread.messages.spend_grant import SpendGrant
from jackdawspread.messages.spend_request import SpendRequest
from jackdawspread.tasks.gateway_metrics import RATE_ADMISSIONS
from jackdawspread.tasks.peer_client import PeerClientEvent

NO_SHARE = RateShare(0.0, 0)


class WorkspaceRateLimiters:
    """Owns one `RateLimiter` for each workspace, as a part of the gateway's state.

    Each instance has a share of a workspace's rate. A limiter without tokens may ask a
    peer to spend tokens of the peer's share.

    Parameters
    ----------
    own_address : str
        Peer address of this instance.
    peer_client : trio.MemorySendChannel
        Inbox of the peer client.
    admit : callable
        Called with the id of each request that is admitted.
    refuse : callable
        Called with the id of each request that is refused.
    may_borrow : bool
        Whether instances may spend tokens of their shares for each other.
    """

    def __init__(
        self,
        own_address: str,
        peer_client: MemorySendChannel[PeerClientEvent],
        admit: Callable[[str], None],
        refuse: Callable[[str], None],
        may_borrow: bool = True,
    ) -> None:
        self._may_borrow = may_borrow
        self._own_address = own_address
        self._peer_client = peer_client
        self._admit = admit
        self._refuse = refuse
        self._limiter_by_workspace: dict[str, RateLimiter] = {}
        self._share_by_workspace: dict[str, RateShare] = {}
        self._waiting_workspaces: set[str] = set()
        self._peers: tuple[str, ...] = ()
        self._authority_deadline = 0.0
        self._shares_version: tuple[object, ...] = ()

    def use_snapshot(self, snapshot: ControlSnapshot, now: float) -> None:
        """Apply the shares and peers of a snapshot.

        Buckets refill at the old share up to now, and new buckets start empty. The
        time before this instance had a share adds no tokens to its bucket, because
        other instances had the share then.
        """
        self._authority_deadline = snapshot.authority_deadline
        key = (snapshot.configuration["version"], snapshot.unsettled_views)
        if key == self._shares_version:
            return
        self._shares_version = key
        views = snapshot.unsettled_views
        members = views[-1].member_by_incarnation if views else {}
        addresses = (member.peer_address for member in members.values())
        self._peers = tuple(
            a for a in addresses if self._may_borrow and a != self._own_address
        )
        for workspace in snapshot.configuration["workspace_by_name"]:
            limits = effective_limits(snapshot.configuration, workspace)
            share = rate_share(
                workspace, snapshot.incarnation, views, limits["rate"], limits["burst"]
            )
            self._change_share(workspace, share, now)

    def _change_share(self, workspace: str, share: RateShare, now: float) -> None:
        """Refill the bucket at the old share up to now, and then change the share."""
        limiter = self._limiter_by_workspace.get(workspace)
        if limiter is None:
            limiter = RateLimiter(RateBucket(0.0, now))
        old = self._share_by_workspace.get(workspace, NO_SHARE)
        limiter = limiter._replace(bucket=refill(limiter.bucket, old, now))
        self._limiter_by_workspace[workspace] = limiter
        self._share_by_workspace[workspace] = share

    def request(self, workspace: str, id: str, deadline: float, now: float) -> None:
        """Request the admission of one request."""
        self._decide(workspace, RequestArrived(id, deadline, self._peers), now)

    def handle_peer(self, event: PeerMessageReceived, now: float) -> None:
        """Handle a peer's message about rates."""
        self._handle(event.message, event.peer_address, now)

    def next_deadline(self) -> float:
        """Return the monotonic time at which `handle_due` is to be called."""
        return min(map(self._deadline, self._waiting_workspaces), default=float("inf"))

    def handle_due(self, now: float) -> None:
        """Handle the deadlines that have been reached."""
        for workspace in tuple(self._waiting_workspaces):
            if self._deadline(workspace) <= now:
                self._decide(workspace, RateTimerFired(self._peers), now)

    @singledispatchmethod
    def _handle(self, message: object, peer: str, now: float) -> None:
        raise TypeError(f"rate limiters cannot handle {type(message).__name__}")

    @_handle.register
    def _(self, message: SpendRequest, peer: str, now: float) -> None:
        # Without authority, another instance may already have this share.
        may_spend = self._may_borrow and now < self._authority_deadline
        allowed_requests = message.requests if may_spend else 0
        self._decide(
            message.workspace,
            SpendRequestReceived(peer, message.id, allowed_requests),
            now,
        )

    @_handle.register
    def _(self, message: SpendGrant, peer: str, now: float) -> None:
        event = SpendGrantReceived(message.id, message.requests, self._peers)
        self._decide(message.workspace, event, now)

    def _deadline(self, workspace: str) -> float:
        share = self._share_by_workspace.get(workspace, NO_SHARE)
        return next_rate_deadline(self._limiter_by_workspace[workspace], share)

    def _decide(
        self,
        workspace: str,
        event: RequestArrived
        | SpendGrantReceived
        | SpendRequestReceived
        | RateTimerFired,
        now: float,
    ) -> None:
        limiter = self._limiter_by_workspace.get(workspace)
        if limiter is None:
            limiter = RateLimiter(RateBucket(0.0, now))
        share = self._share_by_workspace.get(workspace, NO_SHARE)
        limiter, effects = decide_rate(event, limiter, share, now)
        self._limiter_by_workspace[workspace] = limiter
        if limiter.waiting:
            self._waiting_workspaces.add(workspace)
        else:
            self._waiting_workspaces.discard(workspace)
        for effect in effects:
            self._apply(effect, workspace)

    @singledispatchmethod
    def _apply(self, effect: object, workspace: str) -> None:
        raise TypeError(f"rate limiters cannot apply {type(effect).__name__}")

    @_apply.register
    def _(self, effect: AdmitRequest, workspace: str) -> None:
        RATE_ADMISSIONS.labels(workspace, effect.source).inc()
        self._admit(effect.id)

    @_apply.register
    def _(self, effect: RefuseRequest, workspace: str) -> None:
        logging.info("rate: refused id=%s workspace=%s", effect.id, workspace)
        self._refuse(effect.id)

    @_apply.register
    def _(self, effect: SendSpendRequest, workspace: str) -> None:
        self._send(
            effect.peer,
            SpendRequest(effect.spend_request_id, workspace, effect.requests),
        )

    @_apply.register
    def _(self, effect: SendSpendGrant, workspace: str) -> None:
        self._send(
            effect.peer, SpendGrant(effect.spend_request_id, workspace, effect.requests)
        )

    def _send(self, peer: str, message: SpendRequest | SpendGrant) -> None:
        try:
            self._peer_client.send_nowait(SendPeerMessage(peer, message))
        except WouldBlock:
            # A spend request that is not sent ends at its deadline.
            logging.warning("rate: peer client inbox full peer=%s", peer)
