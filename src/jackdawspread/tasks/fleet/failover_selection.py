"""Selection of the member that replaces a failed primary."""

from absl import logging
from trio import current_time, open_nursery

from jackdawspread.decisions.failover.acknowledged_choice import AcknowledgedChoice
from jackdawspread.decisions.failover.outstanding_requests import (
    last_request,
    outstanding_requests,
)
from jackdawspread.decisions.failover.pause_term import pause_term
from jackdawspread.decisions.failover.promotion_candidate import (
    replicas_to_query,
    silent_addresses,
)
from jackdawspread.decisions.failover.promotion_evidence import PromotionEvidence
from jackdawspread.decisions.failover.promotion_lock import (
    recorded_roster,
    recorded_term,
)
from jackdawspread.decisions.failover.reported_roles import (
    find_other_primary,
    paused_replicas,
)
from jackdawspread.decisions.failover.roster import UNKNOWN_ADDRESS, group_roster
from jackdawspread.messages.fleet.failover_trigger import FailoverTrigger
from jackdawspread.messages.fleet.log_status import LogStatus
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.messages.fleet.paused_replicas import PausedReplicas
from jackdawspread.messages.fleet.promotion_plan import PromotionPlan
from jackdawspread.messages.statements.demote_primary import DemotePrimary
from jackdawspread.tasks.fleet.acknowledgement_fence import NOT_FENCED
from jackdawspread.tasks.fleet.candidate_search import CandidateSearch
from jackdawspread.tasks.fleet.departed_query import DepartedQuery
from jackdawspread.tasks.fleet.failover_context import FailoverContext
from jackdawspread.tasks.fleet.peer_demotion_client import PeerDemotionClient
from jackdawspread.tasks.fleet.promotion_chooser import PromotionChooser
from jackdawspread.tasks.fleet.promotion_log import describe_acknowledged
from jackdawspread.tasks.fleet.read_members_since import LIST_NOT_WHOLE
from jackdawspread.tasks.fleet.replication_control import ReplicationControl
from jackdawspread.tasks.fleet.replication_pause import ReplicationPause


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
        self._chooser = PromotionChooser(missing_log_timeout_s)
        self._search = CandidateSearch(replication)
        self._pause = ReplicationPause(replication)

    async def run(
        self,
        context: FailoverContext,
        listing_by_id: dict[str, MemberListing],
        departed: DepartedQuery,
    ) -> PromotionPlan:
        """Return the member to promote and the replicas that were paused for it.

        ``departed`` queries the members that have left the list. Those that answer may
        go on confirming commits.

        A primary that a late request may promote again is not demoted, but requested
        once more. So is a primary that can't be replaced while any request is
        outstanding, as replicas rest paused until the requests end.
        """
        trigger, record = context.trigger, context.record
        outstanding = outstanding_requests(record)
        may_be_demoted = trigger.member not in outstanding
        replicas = replicas_to_query(
            listing_by_id.values(), trigger.group, trigger.member
        )
        # A primary that does not answer was queried when it was suspected.
        primary = listing_by_id.get(trigger.member) if trigger.writes_stalled else None
        queried = replicas if primary is None else (*replicas, primary)
        status_by_member = await self._search.query(queried)
        status_by_departed = await departed.wait()
        unlisted = departed.replicas(status_by_departed)
        refusal = find_other_primary(trigger.member, status_by_member)
        if refusal:
            return PromotionPlan(reason=refusal)
        evidence = _collect(context, queried, listing_by_id, status_by_member)
        if trigger.member in status_by_member:
            evidence = evidence._replace(demoted_primary=trigger.member)
        # The unlisted ones are compared once all are paused.
        unlisted_addresses = {member.address for member in unlisted}
        choice = self._chooser.choose(
            context,
            evidence._replace(roster=evidence.roster - unlisted_addresses),
            listing_by_id,
        )
        candidate = choice.candidate
        left_paused = paused_replicas(replicas, status_by_member)
        is_replaceable = candidate is not None and candidate.member != trigger.member
        is_kept = not (is_replaceable and may_be_demoted)
        if trigger.member in status_by_member and outstanding and is_kept:
            return PromotionPlan(
                trigger.member,
                paused=left_paused,
                repeats_request=True,
                awaits_shown=choice.awaits_shown,
            )
        if candidate is None:
            return _refuse(context, evidence, left_paused, choice)
        if candidate.member == trigger.member:
            return PromotionPlan(
                reason="only the primary has every commit",
                paused=left_paused,
                awaits_shown=choice.awaits_shown,
            )
        statuses = (*status_by_member.values(), *status_by_departed.values())
        term = pause_term(statuses, recorded_term(record))
        paused = await self._pause_all(replicas, unlisted, term)
        if primary is not None and primary.id in status_by_member:
            return await self._demote_and_select(context, paused, primary)
        unreachable = listing_by_id.get(trigger.member)
        if unreachable is not None and not may_be_demoted:
            logging.info(
                "succession: peers not asked to demote member=%s group=%s reason='an "
                "earlier request may promote it again'",
                unreachable.id,
                unreachable.group,
            )
            unreachable = None
        return await self._select_unreachable(context, paused, unreachable)

    async def _pause_all(
        self,
        replicas: tuple[MemberListing, ...],
        unlisted: tuple[MemberListing, ...],
        term: int,
    ) -> PausedReplicas:
        """Pause the unlisted replicas first.

        The others then receive what these have confirmed.
        """
        if unlisted:
            term, _ = await self._pause.run(unlisted, term)
        term, _ = await self._pause.run(replicas, term)
        return PausedReplicas(replicas, unlisted, term)

    async def _select_unreachable(
        self,
        context: FailoverContext,
        paused: PausedReplicas,
        primary: MemberListing | None,
    ) -> PromotionPlan:
        """Compare the logs of paused replicas while the primary is unreachable.

        A replica that joins in the meantime may confirm commits of a primary that is
        alive, so other instances are asked to demote ``primary`` while acknowledgements
        are fenced. If none does, the list is read last, as only the replicas in it are
        known. The fence is waited for although a demoted primary acknowledges nothing:
        it tells what was acknowledged before.
        """
        demoted: list[LogStatus] = []

        async def demote(primary: MemberListing) -> None:
            status = await self._peer_demotion.demote(primary, paused.term)
            if status is not None:
                demoted.append(status)

        async with open_nursery() as nursery:
            if primary is not None:
                nursery.start_soon(demote, primary)
            is_fenced = await context.fence.suspend()
        if not is_fenced:
            return PromotionPlan(reason=NOT_FENCED, paused=paused.all)
        if primary is not None and demoted:
            return await self._select_demoted(context, paused, primary, demoted[0])
        status_by_member = await self._search.query_paused(paused.all, paused.term)
        listed_since = current_time()
        seen = await context.members_since(listed_since) if status_by_member else None
        if status_by_member is None or seen is None:
            return PromotionPlan(
                reason="no replica is known to have every commit", paused=paused.all
            )
        if not seen.is_whole:
            # The primary may have confirmed commits through the one that is missing.
            return PromotionPlan(reason=LIST_NOT_WHOLE, paused=paused.all)
        evidence = _collect(context, paused.all, seen.listing_by_id, status_by_member)
        evidence = _with_unlisted(evidence, paused.unlisted, seen.listing_by_id)
        choice = self._chooser.choose(context, evidence, seen.listing_by_id)
        if choice.candidate is None:
            return _refuse(context, evidence, paused.all, choice)
        return PromotionPlan(
            choice.candidate.member,
            "",
            paused.term,
            evidence.roster,
            paused.all,
            tuple(status_by_member.values()),
            listed_since,
            awaits_shown=choice.awaits_shown,
        )

    async def _demote_and_select(
        self, context: FailoverContext, paused: PausedReplicas, primary: MemberListing
    ) -> PromotionPlan:
        """Demote a primary that answers, so that all logs can be compared."""
        if not await context.fence.suspend():
            return PromotionPlan(reason=NOT_FENCED, paused=paused.all)
        demoted = await self._replication.send(primary, DemotePrimary(paused.term))
        if demoted is None or demoted.claims_primary:
            # It may go on acknowledging commits. If it no longer responds, the next
            # attempt is made without it.
            return PromotionPlan(
                reason="the primary was not demoted", paused=paused.all
            )
        logging.info("succession: demoted member=%s term=%d", primary.id, paused.term)
        return await self._select_demoted(context, paused, primary, demoted)

    async def _select_demoted(
        self,
        context: FailoverContext,
        paused: PausedReplicas,
        primary: MemberListing,
        demoted: LogStatus,
    ) -> PromotionPlan:
        """Compare all logs, which can't grow once the primary is demoted.

        The log of the primary may be ahead of all others by commits that only a replica
        without an entry has confirmed, or that nobody has.
        """
        demoted_at = current_time()
        seen = await context.members_since(demoted_at)
        listing_by_id = {m.id: m for m in (*paused.listed, primary)}
        if seen is not None:
            listing_by_id = seen.listing_by_id
        joined = _joined_replicas(context.trigger, paused.all, listing_by_id)
        await self._pause.run(joined, paused.term)
        replicas = (*paused.all, *joined)
        status_by_member = await self._search.query(replicas)
        if any(status.claims_primary for status in status_by_member.values()):
            # An earlier request has been executed late.
            return PromotionPlan(reason="a replica was promoted", paused=replicas)
        status_by_member[primary.id] = demoted
        evidence = _collect(
            context, (*replicas, primary), listing_by_id, status_by_member
        )
        evidence = _with_unlisted(evidence, paused.unlisted, listing_by_id)
        # A replica may have joined that the list does not name.
        is_whole = seen is not None and seen.is_whole
        joiner = set() if is_whole else {UNKNOWN_ADDRESS}
        evidence = evidence._replace(
            demoted_primary=primary.id, roster=evidence.roster | joiner
        )
        choice = self._chooser.choose(context, evidence, listing_by_id)
        if choice.candidate is None:
            return _refuse(context, evidence, replicas, choice)
        return PromotionPlan(
            choice.candidate.member,
            "",
            paused.term,
            evidence.roster,
            replicas,
            tuple(status_by_member.values()),
            demoted_at if seen is not None else 0.0,
            awaits_shown=choice.awaits_shown,
        )


def _collect(
    context: FailoverContext,
    queried: tuple[MemberListing, ...],
    listing_by_id: dict[str, MemberListing],
    status_by_member: dict[str, LogStatus],
) -> PromotionEvidence:
    listings = listing_by_id.values()
    return PromotionEvidence(
        group_roster(context.trigger, listings, recorded_roster(context.record)),
        {listing.id: listing.address for listing in (*queried, *listings)},
        status_by_member,
        frozenset(listing.id for listing in listings if listing.leaving),
        requested_earlier=last_request(context.record),
    )


def _with_unlisted(
    evidence: PromotionEvidence,
    unlisted: tuple[MemberListing, ...],
    listing_by_id: dict[str, MemberListing],
) -> PromotionEvidence:
    """Return the evidence with replicas that answered without an entry.

    Those that are listed by now may be promoted.
    """
    addresses = {member.address for member in unlisted}
    ids = frozenset(member.id for member in unlisted)
    return evidence._replace(
        roster=evidence.roster | addresses, unlisted=ids - listing_by_id.keys()
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
    context: FailoverContext,
    evidence: PromotionEvidence,
    paused: tuple[MemberListing, ...],
    choice: AcknowledgedChoice,
) -> PromotionPlan:
    """Return a plan without a promotion, because logs are missing."""
    names = ",".join(sorted(silent_addresses(evidence))) or "none"
    acknowledged = describe_acknowledged(context.fence.acknowledged)
    return PromotionPlan(
        reason="no replica is known to have every commit, "
        f"logs missing addresses={names} {acknowledged}",
        roster=evidence.roster,
        paused=paused,
        awaits_shown=choice.awaits_shown,
    )
