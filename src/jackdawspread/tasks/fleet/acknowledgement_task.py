"""Acknowledgement of commits while a promotion may take effect."""

from collections import defaultdict
from collections.abc import Callable
from functools import partial, singledispatchmethod
from math import inf

from absl import logging
from trio import (
    BrokenResourceError,
    Event,
    MemoryReceiveChannel,
    MemorySendChannel,
    Nursery,
    WouldBlock,
    current_time,
    move_on_at,
    open_nursery,
)

from jackdawspread.decisions.acknowledgement.acknowledge_commit import AcknowledgeCommit
from jackdawspread.decisions.acknowledgement.begins_suspension import (
    begins_suspension,
)
from jackdawspread.decisions.acknowledgement.decide_acknowledgement import (
    AcknowledgementDecision,
    decide_acknowledgement,
)
from jackdawspread.decisions.acknowledgement.evidence import (
    Evidence,
    add_evidence,
    is_epoch_settled,
)
from jackdawspread.decisions.acknowledgement.group_view import GroupView, replace_state
from jackdawspread.decisions.acknowledgement.newer_state import (
    end_suspension,
    newer_state,
)
from jackdawspread.decisions.acknowledgement.permit import has_permit
from jackdawspread.decisions.acknowledgement.registration import Registration, renew
from jackdawspread.decisions.acknowledgement.wait_for_state import WaitForState
from jackdawspread.messages.fleet.acknowledged_positions import NOTHING_ACKNOWLEDGED
from jackdawspread.messages.fleet.acknowledgement_event import AcknowledgementEvent
from jackdawspread.messages.fleet.await_writable import AwaitWritable
from jackdawspread.messages.fleet.commit_confirmation import CommitConfirmation
from jackdawspread.messages.fleet.configuration_seen import ConfigurationSeen
from jackdawspread.messages.fleet.confirm_commit import ConfirmCommit
from jackdawspread.messages.fleet.failover_event import FailoverEvent
from jackdawspread.messages.fleet.instance_registered import InstanceRegistered
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.messages.fleet.members_seen import MembersSeen
from jackdawspread.messages.fleet.peer_event import PeerEvent
from jackdawspread.messages.fleet.promotion_announcement import PromotionAnnouncement
from jackdawspread.messages.fleet.promotion_announcement_received import (
    PromotionAnnouncementReceived,
)
from jackdawspread.messages.fleet.promotion_state import PromotionState
from jackdawspread.messages.fleet.promotion_states_seen import PromotionStatesSeen
from jackdawspread.messages.fleet.reported_positions import ReportedPositions
from jackdawspread.messages.fleet.send_datagram import SendDatagram
from jackdawspread.tasks.boot_clock import seconds_since_boot
from jackdawspread.tasks.fleet.acknowledged_commits import AcknowledgedCommits
from jackdawspread.tasks.fleet.acknowledgement_log import AcknowledgementLog
from jackdawspread.tasks.fleet.commit_verification import CommitVerification
from jackdawspread.tasks.fleet.position_reports import write_report
from jackdawspread.tasks.fleet.record_client import RecordClient
from jackdawspread.tasks.fleet.replication_control import ReplicationControl
from jackdawspread.tasks.fleet.withdrawal_triggers import WithdrawalTriggers
from jackdawspread.tasks.run_isolated import call_isolated, run_isolated

PART = "acknowledgements"
VERIFICATION_TIMEOUT_S = 0.4
# A member that lacks one commit lacks the next ones too, whose outcome would also be
# unknown.
HOLD_AFTER_FAILURE_S = 0.5
# Longer than the lock of an attempt that withdraws requests.
WITHDRAWAL_S = 8.0
SUSPENDED = "a promotion is being decided"
UNVERIFIED = "a member has not received the last commits"


class AcknowledgementTask:
    """Owns the promotion states of all groups, and the commits that await them.

    Parameters
    ----------
    inbox : trio.MemoryReceiveChannel
        Commits of the sessions, and what is learned of promotions and members.
    replication : ReplicationControl
        Sends status queries to members.
    peers : trio.MemorySendChannel
        Inbox of the peers task.
    failover : trio.MemorySendChannel
        Inbox of the failover task.
    records : RecordClient
        Access to the store, for reports of acknowledged positions.
    instance : str
        Id of this instance.
    boot_clock : callable
        Returns the time in seconds of the boot-time clock.
    """

    def __init__(
        self,
        inbox: MemoryReceiveChannel[AcknowledgementEvent],
        replication: ReplicationControl,
        peers: MemorySendChannel[PeerEvent],
        failover: MemorySendChannel[FailoverEvent],
        records: RecordClient,
        instance: str,
        boot_clock: Callable[[], float] = seconds_since_boot,
    ) -> None:
        self._inbox = inbox
        self._peers = peers
        self._records = records
        self._instance = instance
        self._boot_clock = boot_clock
        self._log = AcknowledgementLog()
        self._triggers = WithdrawalTriggers(instance, failover, self._primary_to_keep)
        self._evidence: Evidence | None = None
        self._registration: Registration | None = None
        self._view_by_group: dict[str, GroupView] = {}
        self._asynchronous: frozenset[str] = frozenset()
        self._listings_by_group: dict[str, dict[str, MemberListing]] = {}
        self._verification_by_group: defaultdict[str, CommitVerification] = defaultdict(
            partial(CommitVerification, replication)
        )
        self._changed_by_group: defaultdict[str, Event] = defaultdict(Event)
        self._held_until_by_group: dict[str, float] = {}
        self._commits_by_group: defaultdict[str, AcknowledgedCommits]
        self._commits_by_group = defaultdict(AcknowledgedCommits)

    async def run(self) -> None:
        """Handle events until cancelled."""
        async with open_nursery() as waits:
            async for event in self._inbox:
                call_isolated(PART, self._handle, event, waits)

    @singledispatchmethod
    def _handle(self, event: object, waits: Nursery) -> None:
        raise TypeError(f"no acknowledgement event of type {type(event).__name__}")

    @_handle.register
    def _(self, event: ConfirmCommit, waits: Nursery) -> None:
        if isinstance(self._decide(event), AcknowledgeCommit):
            self._acknowledge(event, self._basis(event.group))
        else:
            confirm = partial(self._confirm, event, waits)
            waits.start_soon(run_isolated, PART, confirm)

    @_handle.register
    def _(self, event: AwaitWritable, waits: Nursery) -> None:
        if self._unwritable_reason(event.group):
            wait = partial(self._await_writable, event)
            waits.start_soon(run_isolated, PART, wait)
        else:
            _reply_writable(event, "")

    @_handle.register
    def _(self, event: PromotionAnnouncement, waits: Nursery) -> None:
        announced = event.announced
        self._apply(announced.state, "announcement", waits)
        acknowledged = self._commits_by_group[announced.state.group].positions
        if event.reply_to is not None:
            event.reply_to.send_nowait(acknowledged)
        # A group that counts as asynchronous here is acknowledged whatever its state.
        if announced.state.group in self._asynchronous:
            return
        if announced.id and event.peer:
            reply = PromotionAnnouncementReceived(
                announced.id, self._instance, acknowledged
            )
            try:
                self._peers.send_nowait(SendDatagram(reply, event.peer))
            except WouldBlock:
                # The announcement is repeated until it is confirmed.
                logging.warning("acknowledgements: peers inbox full, not confirmed")

    @_handle.register
    def _(self, event: PromotionStatesSeen, waits: Nursery) -> None:
        now = self._boot_clock()
        # A freeze that has just ended shows as a lost permit.
        self._is_permitted()
        self._evidence = add_evidence(
            self._evidence, event.epoch, event.as_of, now, event.epoch_age_s
        )
        for seen in event.states:
            before = self._view(seen.group).state
            self._apply(seen, "evidence", waits)
            if begins_suspension(before, self._view(seen.group).state):
                # Its holder may not have reached this instance with an announcement.
                self._report_positions(seen.group, waits)
        if is_epoch_settled(self._evidence, now):
            for view in list(self._view_by_group.values()):
                ended = end_suspension(view.state, self._evidence.epoch)
                self._replace(ended, "epoch ended", waits)
        if self._is_permitted():
            # Commits that await a verification need it no longer.
            for group in list(self._changed_by_group):
                self._wake(group)

    @_handle.register
    def _(self, event: InstanceRegistered, waits: Nursery) -> None:
        self._registration = renew(self._registration, event)

    @_handle.register
    def _(self, event: MembersSeen, waits: Nursery) -> None:
        listings_by_group: defaultdict[str, dict[str, MemberListing]]
        listings_by_group = defaultdict(dict)
        for listing in event.listing_by_id.values():
            listings_by_group[listing.group][listing.id] = listing
        self._listings_by_group = dict(listings_by_group)
        for group, verification in self._verification_by_group.items():
            verification.set_listings(self._listings_by_group.get(group, {}))
        for group, view in self._view_by_group.items():
            if view.state.outstanding:
                self._trigger_withdrawal(group, waits)

    @_handle.register
    def _(self, event: ConfigurationSeen, waits: Nursery) -> None:
        if event.configuration is None:
            return
        groups = event.configuration.group_by_name
        self._asynchronous = frozenset(
            group.name for group in groups.values() if group.sync_replicas == 0
        )
        for group_name in self._commits_by_group.keys() - groups.keys():
            # A group that is added again begins with another log.
            del self._commits_by_group[group_name]
        for group_name in list(self._changed_by_group):
            self._wake(group_name)

    def _apply(self, seen: PromotionState, source: str, waits: Nursery) -> None:
        known = self._view(seen.group).state
        self._replace(newer_state(known, seen), source, waits)

    def _replace(self, state: PromotionState, source: str, waits: Nursery) -> None:
        view = self._view(state.group)
        if state == view.state:
            return
        now = self._boot_clock()
        self._view_by_group[state.group] = replace_state(view, state, now)
        self._log.log_change(view.state, state, source)
        missing = self._commits_by_group[state.group].find_missing(state)
        if missing is not None:
            self._log.log_missing(state, missing)
        self._wake(state.group)
        self._trigger_withdrawal(state.group, waits)

    def _report_positions(self, group: str, waits: Nursery) -> None:
        """Write to the store what this instance acknowledged before a suspension."""
        acknowledged = self._commits_by_group[group].positions
        if group in self._asynchronous or acknowledged == NOTHING_ACKNOWLEDGED:
            return
        token = self._view(group).state.token
        report = ReportedPositions(self._instance, token, acknowledged)
        write = partial(write_report, self._records, group, report)
        waits.start_soon(run_isolated, PART, write)

    def _trigger_withdrawal(self, group: str, waits: Nursery) -> None:
        if self._primary_to_keep(group) and self._triggers.begin(group):
            run = partial(self._triggers.run, group)
            waits.start_soon(run_isolated, PART, run)

    def _primary_to_keep(self, group: str) -> str:
        """Return the primary, if requests for other members are to be withdrawn."""
        state = self._view(group).state
        if state.is_suspended or group in self._asynchronous:
            return ""
        listings = self._listings_by_group.get(group, {}).values()
        primaries = [listing.id for listing in listings if listing.claims_primary]
        if state.outstanding[-1:] == tuple(primaries):
            # A withdrawal is in progress, unless its holder has died.
            begun_at = self._view(group).changed_at
            if self._boot_clock() < begun_at + WITHDRAWAL_S:
                return ""
        # With two claims one entry is out of date, and the next list shows which.
        if len(primaries) != 1 or not set(state.outstanding) - set(primaries):
            return ""
        return primaries[0]

    async def _confirm(self, commit: ConfirmCommit, waits: Nursery) -> None:
        """Reply to a commit that can't be acknowledged at once."""
        received: frozenset[str] = frozenset()
        give_up_at = inf
        started_at = current_time()
        changed_at = self._view(commit.group).changed_at
        while True:
            decision = self._decide(commit)
            if changed_at != self._view(commit.group).changed_at:
                # The member may have been replaced since it was queried.
                changed_at = self._view(commit.group).changed_at
                received -= {commit.member}
            if isinstance(decision, AcknowledgeCommit):
                self._acknowledge(commit, self._basis(commit.group))
                return
            if isinstance(decision, WaitForState):
                give_up_at = inf
                if current_time() >= commit.expires_at:
                    _reply_commit(commit, CommitConfirmation(False, SUSPENDED))
                    return
                await self._wait_for_change(commit.group, commit.expires_at)
                continue
            if decision.members and decision.members <= received:
                elapsed_s = current_time() - started_at
                self._log.log_verification(
                    commit, "verified", decision.members, elapsed_s
                )
                names = ",".join(sorted(decision.members))
                self._acknowledge(commit, f"received:{names}")
                return
            if give_up_at == inf:
                give_up_at = min(
                    current_time() + VERIFICATION_TIMEOUT_S, commit.expires_at
                )
            if current_time() >= give_up_at or commit.position is None:
                self._fail(commit, decision.members - received, started_at)
                return
            received |= await self._verify(
                commit, decision.members - received, give_up_at, waits
            )

    async def _verify(
        self,
        commit: ConfirmCommit,
        members: frozenset[str],
        give_up_at: float,
        waits: Nursery,
    ) -> frozenset[str]:
        assert commit.position is not None
        if not members:
            # The list may not have arrived yet.
            await self._wait_for_change(commit.group, give_up_at)
            return members
        # Registers the group, so that a change of its state interrupts the wait.
        self._changed_by_group[commit.group]
        verification = self._verification_by_group[commit.group]
        verification.set_listings(self._listings_by_group.get(commit.group, {}))
        return await verification.verify(
            commit.position, members, commit.member, give_up_at, waits
        )

    def _fail(
        self, commit: ConfirmCommit, missing: frozenset[str], started_at: float
    ) -> None:
        elapsed_s = current_time() - started_at
        self._log.log_verification(commit, "not verified", missing, elapsed_s)
        held_until = current_time() + HOLD_AFTER_FAILURE_S
        self._held_until_by_group[commit.group] = held_until
        names = ",".join(sorted(missing)) or "unknown members"
        detail = f"not known to be received by {names}"
        _reply_commit(commit, CommitConfirmation(False, detail))

    def _acknowledge(self, commit: ConfirmCommit, basis: str) -> None:
        if commit.position is not None:
            commits = self._commits_by_group[commit.group]
            commits.add(commit.position, commit.sent_at, self._boot_clock())
        _reply_commit(commit, CommitConfirmation(True, basis))

    async def _await_writable(self, request: AwaitWritable) -> None:
        while reason := self._unwritable_reason(request.group):
            if current_time() >= request.expires_at:
                break
            held_until = self._held_until_by_group.get(request.group, -inf)
            is_held = held_until > current_time()
            until = min(request.expires_at, held_until if is_held else inf)
            await self._wait_for_change(request.group, until)
        _reply_writable(request, reason)

    def _unwritable_reason(self, group: str) -> str:
        """Return why no write of a group may be sent, empty if it may."""
        if group in self._asynchronous:
            return ""
        if self._view(group).state.is_suspended:
            return SUSPENDED
        if current_time() < self._held_until_by_group.get(group, -inf):
            return UNVERIFIED
        return ""

    async def _wait_for_change(self, group: str, until: float) -> None:
        with move_on_at(until):
            await self._changed_by_group[group].wait()

    def _wake(self, group: str) -> None:
        """Let everything that waits for a group be examined again."""
        changed = self._changed_by_group.pop(group, None)
        if changed is not None:
            changed.set()
        if group in self._verification_by_group:
            self._verification_by_group[group].interrupt()

    def _decide(self, commit: ConfirmCommit) -> AcknowledgementDecision:
        if commit.group in self._asynchronous:
            return AcknowledgeCommit()
        listed = frozenset(self._listings_by_group.get(commit.group, {}))
        return decide_acknowledgement(
            self._view(commit.group),
            self._is_permitted(),
            commit.member,
            commit.sent_at,
            listed,
        )

    def _is_permitted(self) -> bool:
        now = self._boot_clock()
        is_permitted = has_permit(self._evidence, self._registration, now)
        self._log.log_permit(is_permitted, self._evidence_age_s(now))
        return is_permitted

    def _basis(self, group: str) -> str:
        """Return why a commit is acknowledged without a verification, for the log."""
        if group in self._asynchronous:
            return "asynchronous"
        age_ms = round(1000 * self._evidence_age_s(self._boot_clock()))
        return f"permit:{self._view(group).state.token}:{age_ms}ms"

    def _evidence_age_s(self, now: float) -> float:
        return inf if self._evidence is None else now - self._evidence.as_of

    def _view(self, group: str) -> GroupView:
        view = self._view_by_group.get(group)
        return view or GroupView(PromotionState(group, 0, 0))


def _reply_commit(commit: ConfirmCommit, confirmation: CommitConfirmation) -> None:
    try:
        commit.reply_to.send_nowait(confirmation)
    except BrokenResourceError:
        logging.vlog(1, "acknowledgements: the session of a commit has ended")


def _reply_writable(request: AwaitWritable, reason: str) -> None:
    try:
        request.reply_to.send_nowait(reason)
    except BrokenResourceError:
        logging.vlog(1, "acknowledgements: the session of a write has ended")
