"""Selection of the member that replaces a failed primary."""

from collections.abc import Collection

from absl import logging
from trio import current_time, move_on_after, open_nursery

from jackdawspread.decisions.failover.blocked_promotion import is_overdue
from jackdawspread.decisions.failover.outstanding_requests import (
    last_request,
    outstanding_requests,
)
from jackdawspread.decisions.failover.pause_term import pause_term
from jackdawspread.decisions.failover.promotion_candidate import (
    choose_candidate,
    replicas_to_query,
    silent_addresses,
    without_departed,
)
from jackdawspread.decisions.failover.promotion_evidence import PromotionEvidence
from jackdawspread.decisions.failover.promotion_lock import (
    recorded_roster,
    recorded_term,
)
from jackdawspread.decisions.failover.promotion_lock_record import PromotionLockRecord
from jackdawspread.decisions.failover.reported_roles import (
    find_other_primary,
    paused_replicas,
)
from jackdawspread.decisions.failover.roster import UNKNOWN_ADDRESS, group_roster
from jackdawspread.decisions.members.listing_retention import REREGISTRATION_S
from jackdawspread.messages.fleet.acknowledged_positions import (
    NOTHING_ACKNOWLEDGED,
    AcknowledgedPositions,
)
from jackdawspread.messages.fleet.failover_trigger import FailoverTrigger
from jackdawspread.messages.fleet.log_status import LogStatus
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.messages.fleet.promotion_plan import PromotionPlan
from jackdawspread.messages.statements.demote_primary import DemotePrimary
from jackdawspread.messages.statements.query_status import QueryStatus
from jackdawspread.tasks.fleet.acknowledgement_fence import (
    NOT_FENCED,
    AcknowledgementFence,
)
from jackdawspread.tasks.fleet.candidate_search import CandidateSearch
from jackdawspread.tasks.fleet.peer_demotion_client import PeerDemotionClient
from jackdawspread.tasks.fleet.promotion_log import describe_acknowledged
from jackdawspread.tasks.fleet.read_members_since import (
    LIST_NOT_WHOLE,
    ReadMembersSince,
)
from jackdawspread.tasks.fleet.replication_control import ReplicationControl
from jackdawspread.tasks.fleet.replication_pause import ReplicationPause

# A member that lives answers in a few milliseconds.
UNLISTED_TIMEOUT_S = 0.15


class FailoverSelection:
    """Compares the logs of a group once they can't grow any more.

    Parameters
    ----------
    replication : ReplicationControl
        Sends status queries and replication commands to members.
    peer_demotion : PeerDemotionClient
        Demotes primaries that this instance can't reach through other instances.
    missing_log_timeout_s : float
        Time in seconds after which a member is promoted without the logs of members
        that are gone; infinite if never, as commits may be lost.
    """

    def __init__(
        self,
        replication: ReplicationControl,
        peer_demotion: PeerDemotionClient,
        missing_log_timeout_s: float,
    ) -> None:
        self._replication = replication
        self._peer_demotion = peer_demotion
        self._missing_log_timeout_s = missing_log_timeout_s
        self._search = CandidateSearch(replication)
        self._pause = ReplicationPause(replication)

    async def run(
        self,
        trigger: FailoverTrigger,
        listing_by_id: dict[str, MemberListing],
        record: PromotionLockRecord,
        members_since: ReadMembersSince,
        fence: AcknowledgementFence,
        departed: tuple[MemberListing, ...],
    ) -> PromotionPlan:
        """Return the member to promote and the replicas that were paused for it.

        A primary that a late request may promote again is not demoted, but requested
        once more. So is a primary that can't be replaced while any request is
        outstanding, as replicas rest paused until the requests end.
        """
        outstanding = outstanding_requests(record)
        may_be_demoted = trigger.member not in outstanding
        replicas = replicas_to_query(
            listing_by_id.values(), trigger.group, trigger.member
        )
        # A primary that does not answer was queried when it was suspected.
        primary = listing_by_id.get(trigger.member) if trigger.writes_stalled else None
        queried = replicas if primary is None else (*replicas, primary)
        found: list[MemberListing] = []
        async with open_nursery() as nursery:
            nursery.start_soon(self._find_unlisted, departed, found)
            status_by_member = await self._search.query(queried)
        unlisted = tuple(found)
        refusal = find_other_primary(trigger.member, status_by_member)
        if refusal:
            return PromotionPlan(reason=refusal)
        evidence = _collect(trigger, queried, listing_by_id, record, status_by_member)
        if trigger.member in status_by_member:
            evidence = evidence._replace(demoted_primary=trigger.member)
        # Those that answer are compared once all are paused.
        answering = {member.address for member in unlisted}
        candidate = self._choose(
            trigger,
            evidence._replace(roster=evidence.roster - answering),
            listing_by_id,
            record,
            fence.acknowledged,
        )
        left_paused = paused_replicas(replicas, status_by_member)
        is_replaceable = candidate is not None and candidate.member != trigger.member
        is_kept = not (is_replaceable and may_be_demoted)
        if trigger.member in status_by_member and outstanding and is_kept:
            return PromotionPlan(
                trigger.member, paused=left_paused, repeats_request=True
            )
        if candidate is None:
            return _refuse(evidence, left_paused, fence.acknowledged)
        if candidate.member == trigger.member:
            return PromotionPlan(
                reason="only the primary has every commit", paused=left_paused
            )
        term = pause_term(status_by_member.values(), recorded_term(record))
        if unlisted:
            # Paused first, so that the others receive what these have confirmed.
            term, _ = await self._pause.run(unlisted, term)
        term, _ = await self._pause.run(replicas, term)
        if primary is not None and primary.id in status_by_member:
            return await self._demote_and_select(
                trigger, replicas, primary, term, record, members_since, fence
            )
        unreachable = listing_by_id.get(trigger.member)
        if unreachable is not None and not may_be_demoted:
            logging.info(
                "succession: peers not asked to demote member=%s group=%s reason='an "
                "earlier request may promote it again'",
                unreachable.id,
                unreachable.group,
            )
            unreachable = None
        return await self._select_unreachable(
            trigger,
            replicas,
            unreachable,
            term,
            record,
            members_since,
            fence,
            unlisted,
        )

    async def _find_unlisted(
        self, departed: tuple[MemberListing, ...], found: list[MemberListing]
    ) -> None:
        """Add the replicas that answer although they have left the list.

        Their entries have expired, but they may go on confirming.
        """

        async def query(member: MemberListing) -> None:
            status = await self._replication.send(member, QueryStatus())
            if status is not None and not status.claims_primary:
                found.append(member)
                logging.info(
                    "succession: replica answers without an entry member=%s group=%s",
                    member.id,
                    member.group,
                )

        with move_on_after(UNLISTED_TIMEOUT_S):
            async with open_nursery() as nursery:
                for member in departed:
                    nursery.start_soon(query, member)

    async def _select_unreachable(
        self,
        trigger: FailoverTrigger,
        replicas: tuple[MemberListing, ...],
        primary: MemberListing | None,
        term: int,
        record: PromotionLockRecord,
        members_since: ReadMembersSince,
        fence: AcknowledgementFence,
        unlisted: tuple[MemberListing, ...],
    ) -> PromotionPlan:
        """Compare the logs of paused replicas while the primary is unreachable.

        A replica that joins in the meantime may confirm commits of a primary that is
        alive, so other instances are asked to demote ``primary`` while acknowledgements
        are fenced. If none does, the list is read last, as only the replicas in it are
        known. The fence is waited for although a demoted primary acknowledges nothing:
        it tells what was acknowledged before. The logs of ``unlisted`` members, paused
        too, count, but they are not promoted.
        """
        demoted: list[LogStatus] = []

        async def demote(primary: MemberListing) -> None:
            status = await self._peer_demotion.demote(primary, term)
            if status is not None:
                demoted.append(status)

        async with open_nursery() as nursery:
            if primary is not None:
                nursery.start_soon(demote, primary)
            is_fenced = await fence.suspend()
        compared = (*replicas, *unlisted)
        if not is_fenced:
            return PromotionPlan(reason=NOT_FENCED, paused=compared)
        status_by_member = await self._search.query_paused(compared, term)
        if primary is not None and demoted:
            plan = await self._select_demoted(
                trigger,
                replicas,
                primary,
                demoted[0],
                term,
                record,
                members_since,
                fence.acknowledged,
            )
            return plan._replace(paused=(*plan.paused, *unlisted))
        listed_since = current_time()
        seen = await members_since(listed_since) if status_by_member else None
        if status_by_member is None or seen is None:
            return PromotionPlan(
                reason="no replica is known to have every commit", paused=compared
            )
        if not seen.is_whole:
            # The primary may have confirmed commits through the one that is missing.
            return PromotionPlan(reason=LIST_NOT_WHOLE, paused=compared)
        listing_by_id = seen.listing_by_id
        evidence = _collect(trigger, compared, listing_by_id, record, status_by_member)
        evidence = _with_unlisted(evidence, unlisted)
        candidate = self._choose(
            trigger, evidence, listing_by_id, record, fence.acknowledged
        )
        if candidate is None or candidate.member in {m.id for m in unlisted}:
            return _refuse(evidence, compared, fence.acknowledged)
        return PromotionPlan(
            candidate.member,
            "",
            term,
            evidence.roster,
            compared,
            tuple(status_by_member.values()),
            listed_since,
        )

    async def _demote_and_select(
        self,
        trigger: FailoverTrigger,
        replicas: tuple[MemberListing, ...],
        primary: MemberListing,
        term: int,
        record: PromotionLockRecord,
        members_since: ReadMembersSince,
        fence: AcknowledgementFence,
    ) -> PromotionPlan:
        """Demote a primary that answers, so that all logs can be compared."""
        if not await fence.suspend():
            return PromotionPlan(reason=NOT_FENCED, paused=replicas)
        demoted = await self._replication.send(primary, DemotePrimary(term))
        if demoted is None or demoted.claims_primary:
            # It may go on acknowledging commits. If it no longer responds, the next
            # attempt is made without it.
            return PromotionPlan(reason="the primary was not demoted", paused=replicas)
        logging.info("succession: demoted member=%s term=%d", primary.id, term)
        return await self._select_demoted(
            trigger,
            replicas,
            primary,
            demoted,
            term,
            record,
            members_since,
            fence.acknowledged,
        )

    async def _select_demoted(
        self,
        trigger: FailoverTrigger,
        replicas: tuple[MemberListing, ...],
        primary: MemberListing,
        demoted: LogStatus,
        term: int,
        record: PromotionLockRecord,
        members_since: ReadMembersSince,
        acknowledged: AcknowledgedPositions,
    ) -> PromotionPlan:
        """Compare all logs, which can't grow once the primary is demoted.

        The log of the primary may be ahead of all others by commits that only a replica
        without an entry has confirmed, or that nobody has.
        """
        demoted_at = current_time()
        seen = await members_since(demoted_at)
        listing_by_id = {m.id: m for m in (*replicas, primary)}
        if seen is not None:
            listing_by_id = seen.listing_by_id
        joined = _joined_replicas(trigger, replicas, listing_by_id)
        await self._pause.run(joined, term)
        paused = (*replicas, *joined)
        status_by_member = await self._search.query(paused)
        if any(status.claims_primary for status in status_by_member.values()):
            # An earlier request has been executed late.
            return PromotionPlan(reason="a replica was promoted", paused=paused)
        status_by_member[primary.id] = demoted
        evidence = _collect(
            trigger, (*paused, primary), listing_by_id, record, status_by_member
        )
        # A replica may have joined that the list does not name.
        is_whole = seen is not None and seen.is_whole
        joiner = set() if is_whole else {UNKNOWN_ADDRESS}
        evidence = evidence._replace(
            demoted_primary=primary.id, roster=evidence.roster | joiner
        )
        candidate = choose_candidate(evidence._replace(acknowledged=acknowledged.shown))
        if trigger.writes_stalled and (
            candidate is None or candidate.member == primary.id
        ):
            # Nobody confirms what it has beyond the acknowledged commits.
            candidate = choose_candidate(
                evidence._replace(acknowledged=acknowledged.certain)
            )
        if candidate is None:
            return _refuse(evidence, paused, acknowledged)
        return PromotionPlan(
            candidate.member,
            "",
            term,
            evidence.roster,
            paused,
            tuple(status_by_member.values()),
            demoted_at if seen is not None else 0.0,
        )

    def _choose(
        self,
        trigger: FailoverTrigger,
        evidence: PromotionEvidence,
        listing_by_id: dict[str, MemberListing],
        record: PromotionLockRecord,
        acknowledged: AcknowledgedPositions,
    ) -> LogStatus | None:
        """Return the member to promote.

        A position that may not have been acknowledged is waited for until every member
        that lives must be listed. Members that are gone are waited for. Where the
        settings limit that time, the most advanced of the listed replicas is then taken
        if all of them answer.
        """
        candidate = choose_candidate(evidence._replace(acknowledged=acknowledged.shown))
        if candidate is None and is_overdue(record, REREGISTRATION_S):
            candidate = choose_candidate(
                evidence._replace(acknowledged=acknowledged.certain)
            )
        if candidate is not None or not is_overdue(record, self._missing_log_timeout_s):
            return candidate
        listed = {listing.address for listing in listing_by_id.values()}
        primary = listing_by_id.get(trigger.member)
        remaining = without_departed(
            evidence,
            listed,
            primary.address if primary is not None else UNKNOWN_ADDRESS,
        )
        if silent_addresses(remaining) - {UNKNOWN_ADDRESS}:
            return None
        candidate = choose_candidate(remaining)
        if candidate is not None:
            logging.error(
                "succession: commits may be lost, promoting without the logs of "
                "addresses=%s group=%s",
                ",".join(sorted(evidence.roster - remaining.roster)),
                trigger.group,
            )
        return candidate


def _collect(
    trigger: FailoverTrigger,
    queried: tuple[MemberListing, ...],
    listing_by_id: dict[str, MemberListing],
    record: PromotionLockRecord,
    status_by_member: dict[str, LogStatus],
) -> PromotionEvidence:
    listings = listing_by_id.values()
    return PromotionEvidence(
        group_roster(trigger, listings, recorded_roster(record)),
        {listing.id: listing.address for listing in (*queried, *listings)},
        status_by_member,
        frozenset(listing.id for listing in listings if listing.leaving),
        requested_earlier=last_request(record),
    )


def _with_unlisted(
    evidence: PromotionEvidence, unlisted: Collection[MemberListing]
) -> PromotionEvidence:
    """Return the evidence with members that answer without an entry.

    Their logs count, and others are preferred to them.
    """
    addresses = {member.address for member in unlisted}
    ids = {member.id for member in unlisted}
    return evidence._replace(
        roster=evidence.roster | addresses, leaving=evidence.leaving | ids
    )


def _joined_replicas(
    trigger: FailoverTrigger,
    replicas: tuple[MemberListing, ...],
    listing_by_id: dict[str, MemberListing],
) -> tuple[MemberListing, ...]:
    """Return the listed replicas that were not queried yet."""
    known = {replica.id for replica in replicas}
    listed = replicas_to_query(listing_by_id.values(), trigger.group, trigger.member)
    return tuple(listing for listing in listed if listing.id not in known)


def _refuse(
    evidence: PromotionEvidence,
    paused: tuple[MemberListing, ...],
    acknowledged: AcknowledgedPositions = NOTHING_ACKNOWLEDGED,
) -> PromotionPlan:
    """Return a plan without a promotion, because logs are missing."""
    names = ",".join(sorted(silent_addresses(evidence))) or "none"
    return PromotionPlan(
        reason="no replica is known to have every commit, "
        f"logs missing addresses={names} {describe_acknowledged(acknowledged)}",
        roster=evidence.roster,
        paused=paused,
    )
