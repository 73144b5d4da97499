"""Selection of the member that replaces a failed primary."""

from absl import logging
from trio import current_time, open_nursery

from jackdawspread.decisions.failover.blocked_promotion import is_overdue
from jackdawspread.decisions.failover.outstanding_requests import last_request
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
from jackdawspread.decisions.failover.roster import UNKNOWN_ADDRESS, group_roster
from jackdawspread.messages.fleet.failover_trigger import FailoverTrigger
from jackdawspread.messages.fleet.log_status import LogStatus
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.messages.fleet.promotion_plan import PromotionPlan
from jackdawspread.messages.statements.demote_primary import DemotePrimary
from jackdawspread.tasks.fleet.candidate_search import CandidateSearch
from jackdawspread.tasks.fleet.peer_demotion_client import PeerDemotionClient
from jackdawspread.tasks.fleet.read_members_since import ReadMembersSince
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
        self._missing_log_timeout_s = missing_log_timeout_s
        self._search = CandidateSearch(replication)
        self._pause = ReplicationPause(replication)

    async def run(
        self,
        trigger: FailoverTrigger,
        listing_by_id: dict[str, MemberListing],
        record: PromotionLockRecord,
        members_since: ReadMembersSince,
        may_be_demoted: bool = True,
    ) -> PromotionPlan:
        """Return the member to promote and the replicas that were paused for it.

        ``may_be_demoted`` states that no late request would promote the primary again.
        """
        replicas = replicas_to_query(
            listing_by_id.values(), trigger.group, trigger.member
        )
        # A primary that does not answer was queried when it was suspected.
        primary = listing_by_id.get(trigger.member) if trigger.writes_stalled else None
        queried = replicas if primary is None else (*replicas, primary)
        status_by_member = await self._search.query(queried)
        refusal = _find_other_primary(trigger, status_by_member)
        if refusal:
            return PromotionPlan(reason=refusal)
        evidence = _collect(trigger, queried, listing_by_id, record, status_by_member)
        if trigger.member in status_by_member:
            evidence = evidence._replace(demoted_primary=trigger.member)
        candidate = self._choose(trigger, evidence, listing_by_id, record)
        left_paused = _paused_before(replicas, status_by_member)
        if candidate is None:
            return _refuse(evidence, left_paused)
        if candidate.member == trigger.member:
            return PromotionPlan(
                reason="only the primary has every commit", paused=left_paused
            )
        if trigger.member in status_by_member and not may_be_demoted:
            return _plan_repeated_request(trigger, record, left_paused)
        term = pause_term(status_by_member.values(), recorded_term(record))
        term, _ = await self._pause.run(replicas, term)
        if primary is not None and primary.id in status_by_member:
            return await self._select_fenced(
                trigger, replicas, primary, term, record, members_since
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
        return await self._select_unfenced(
            trigger, replicas, unreachable, term, record, members_since
        )

    async def _select_unfenced(
        self,
        trigger: FailoverTrigger,
        replicas: tuple[MemberListing, ...],
        primary: MemberListing | None,
        term: int,
        record: PromotionLockRecord,
        members_since: ReadMembersSince,
    ) -> PromotionPlan:
        """Compare the logs of paused replicas while the primary is unreachable.

        A replica that joins in the meantime may confirm commits of a primary that is
        alive, so other instances are asked to demote ``primary``. If none does, the
        list is read last, as only the replicas in it are known.
        """
        demoted: list[LogStatus] = []

        async def demote(primary: MemberListing) -> None:
            status = await self._peer_demotion.demote(primary, term)
            if status is not None:
                demoted.append(status)

        async with open_nursery() as nursery:
            if primary is not None:
                nursery.start_soon(demote, primary)
            status_by_member = await self._search.query_paused(replicas, term)
        if primary is not None and demoted:
            return await self._select_demoted(
                trigger, replicas, primary, demoted[0], term, record, members_since
            )
        listed_since = current_time()
        listing_by_id = await members_since(listed_since) if status_by_member else None
        if status_by_member is None or listing_by_id is None:
            return PromotionPlan(
                reason="no replica is known to have every commit", paused=replicas
            )
        evidence = _collect(trigger, replicas, listing_by_id, record, status_by_member)
        candidate = self._choose(trigger, evidence, listing_by_id, record)
        if candidate is None:
            return _refuse(evidence, replicas)
        return PromotionPlan(
            candidate.member,
            "",
            term,
            evidence.roster,
            replicas,
            tuple(status_by_member.values()),
            listed_since,
        )

    async def _select_fenced(
        self,
        trigger: FailoverTrigger,
        replicas: tuple[MemberListing, ...],
        primary: MemberListing,
        term: int,
        record: PromotionLockRecord,
        members_since: ReadMembersSince,
    ) -> PromotionPlan:
        """Demote a primary that answers, so that all logs can be compared."""
        demoted = await self._replication.send(primary, DemotePrimary(term))
        if demoted is None or demoted.claims_primary:
            # It may go on acknowledging commits. If it no longer responds, the next
            # attempt is made without it.
            return PromotionPlan(reason="the primary was not demoted", paused=replicas)
        logging.info("succession: demoted member=%s term=%d", primary.id, term)
        return await self._select_demoted(
            trigger, replicas, primary, demoted, term, record, members_since
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
    ) -> PromotionPlan:
        """Compare all logs, which can't grow once the primary is demoted."""
        demoted_at = current_time()
        listed_after = await members_since(demoted_at)
        listing_by_id = listed_after or {m.id: m for m in (*replicas, primary)}
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
        # Without a new list a replica may have joined.
        joiner = {UNKNOWN_ADDRESS} if listed_after is None else set()
        evidence = evidence._replace(
            demoted_primary=primary.id, roster=evidence.roster | joiner
        )
        candidate = choose_candidate(evidence)
        if candidate is None:
            return _refuse(evidence, paused)
        return PromotionPlan(
            candidate.member,
            "",
            term,
            evidence.roster,
            paused,
            tuple(status_by_member.values()),
            demoted_at if listed_after is not None else 0.0,
        )

    def _choose(
        self,
        trigger: FailoverTrigger,
        evidence: PromotionEvidence,
        listing_by_id: dict[str, MemberListing],
        record: PromotionLockRecord,
    ) -> LogStatus | None:
        """Return the member to promote.

        Members that are gone are waited for. Where the settings limit that time, the
        most advanced of the listed replicas is then taken if all of them answer.
        """
        candidate = choose_candidate(evidence)
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


def _joined_replicas(
    trigger: FailoverTrigger,
    replicas: tuple[MemberListing, ...],
    listing_by_id: dict[str, MemberListing],
) -> tuple[MemberListing, ...]:
    """Return the listed replicas that were not queried yet."""
    known = {replica.id for replica in replicas}
    listed = replicas_to_query(listing_by_id.values(), trigger.group, trigger.member)
    return tuple(listing for listing in listed if listing.id not in known)


def _paused_before(
    replicas: tuple[MemberListing, ...], status_by_member: dict[str, LogStatus]
) -> tuple[MemberListing, ...]:
    """Return the replicas that an earlier attempt left paused.

    This attempt holds the lock, so no other one relies on their pauses.
    """
    return tuple(
        replica
        for replica in replicas
        if replica.id in status_by_member and status_by_member[replica.id].paused_term
    )


def _find_other_primary(
    trigger: FailoverTrigger, status_by_member: dict[str, LogStatus]
) -> str:
    """Return why the members show that there is another primary, empty if not."""
    for member, status in status_by_member.items():
        if status.claims_primary != (member == trigger.member):
            return "another member claims to be the primary"
    return ""


def _plan_repeated_request(
    trigger: FailoverTrigger,
    record: PromotionLockRecord,
    paused: tuple[MemberListing, ...],
) -> PromotionPlan:
    """Return a plan that requests the present primary once more.

    Requests for other members may still be executed in between, so they end nothing.
    """
    if set(record.get("outstanding", ())) - {trigger.member}:
        return PromotionPlan(
            reason="earlier requests may still be executed", paused=paused
        )
    return PromotionPlan(trigger.member, paused=paused, repeats_request=True)


def _refuse(
    evidence: PromotionEvidence, paused: tuple[MemberListing, ...]
) -> PromotionPlan:
    """Return a plan without a promotion, because logs are missing."""
    names = ",".join(sorted(silent_addresses(evidence))) or "none"
    return PromotionPlan(
        reason="no replica is known to have every commit, "
        f"logs missing addresses={names}",
        roster=evidence.roster,
        paused=paused,
    )
