"""Keeps the recorded roster of each group up to date."""

from collections import defaultdict
from collections.abc import Iterable
from functools import partial

from absl import logging
from trio import MemoryReceiveChannel, Nursery, current_time, open_nursery, sleep

from jackdawspread.decisions.failover.promotion_lock import recorded_roster
from jackdawspread.decisions.failover.roster import next_roster
from jackdawspread.decisions.members.departed_members import (
    DepartedMember,
    departed_of,
    update_departed,
)
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.messages.fleet.members_seen import MembersSeen
from jackdawspread.tasks.fleet.candidate_search import CandidateSearch
from jackdawspread.tasks.fleet.replication_control import ReplicationControl
from jackdawspread.tasks.fleet.roster_client import RosterClient
from jackdawspread.tasks.run_isolated import run_isolated

# Groups whose record is read for the first time after each list, so that a restart does
# not send one call for every group at once.
FIRST_READS_PER_LIST = 4
# Time in which a replica has to receive what the primary had, and the time between two
# queries.
COVER_TIMEOUT_S = 0.5
COVER_POLL_INTERVAL_S = 0.1
# Time after which departed members are checked again that were not covered.
UNCOVERED_RETRY_S = 3.0


class RosterTask:
    """Records which members may hold a commit that no other listed member has.

    A replica that leaves takes its log with it. It stays in the roster until a listed
    replica has received what the primary had after the replica was gone, because all
    that it confirmed is then on two listed members. One that answers although it is not
    listed is not gone. Only instances that read the list from the store receive lists
    here.

    Parameters
    ----------
    rosters : RosterClient
        Client of the recorded rosters.
    replication : ReplicationControl
        Sends status queries to members.
    inbox : trio.MemoryReceiveChannel
        Lists of members that this instance has read.
    """

    def __init__(
        self,
        rosters: RosterClient,
        replication: ReplicationControl,
        inbox: MemoryReceiveChannel[MembersSeen],
    ) -> None:
        self._rosters = rosters
        self._search = CandidateSearch(replication)
        self._inbox = inbox
        self._roster_by_group: dict[str, frozenset[str]] = {}
        # Addresses, and whether each claims to be the primary, of lists that were equal
        # to the recorded roster. A promotion changes both the record and the claims.
        self._settled_by_group: dict[str, frozenset[tuple[str, bool]]] = {}
        # Lists from before the last comparison don't show who has left since.
        self._compared_at_by_group: dict[str, float] = {}
        # Time until which the replicas of a group are not asked again for its coverage.
        self._uncovered_until_by_group: dict[str, float] = {}
        self._listing_by_id: dict[str, MemberListing] = {}
        self._departed_by_id: dict[str, DepartedMember] = {}
        self._busy: set[str] = set()

    async def run(self) -> None:
        """Compare lists with the rosters until cancelled."""
        async with open_nursery() as updates:
            async for event in self._inbox:
                self._compare(event, updates)

    def _compare(self, event: MembersSeen, updates: Nursery) -> None:
        self._departed_by_id = update_departed(
            self._departed_by_id,
            self._listing_by_id,
            event.listing_by_id,
            event.as_of,
        )
        self._listing_by_id = event.listing_by_id
        listings_by_group = defaultdict(list)
        for listing in event.listing_by_id.values():
            listings_by_group[listing.group].append(listing)
        first_read_count = 0
        for group, listings in listings_by_group.items():
            settled = self._settled_by_group.get(group)
            if (
                group in self._busy
                or event.as_of < self._compared_at_by_group.get(group, 0.0)
                or settled == _claims(listings)
            ):
                continue
            is_first_read = group not in self._roster_by_group
            first_read_count += is_first_read
            if is_first_read and first_read_count > FIRST_READS_PER_LIST:
                continue
            self._busy.add(group)
            run = partial(self._run_update, group, tuple(listings))
            updates.start_soon(run_isolated, "succession", run)

    async def _run_update(
        self, group: str, listings: tuple[MemberListing, ...]
    ) -> None:
        try:
            await self._update(group, listings)
        finally:
            self._busy.discard(group)

    async def _update(self, group: str, listings: tuple[MemberListing, ...]) -> None:
        """Record the roster of a group; on a conflict the next list repeats it."""
        stored = await self._rosters.read(group)
        if stored is None or stored.is_locked:
            return
        recorded = recorded_roster(stored.record)
        listed = frozenset(listing.address for listing in listings)
        previous = self._roster_by_group.get(group, frozenset())
        has_departed = bool((recorded | previous) - listed)
        is_covered = has_departed and await self._check_coverage(group, listings)
        # A member that can't reach the store goes on confirming without an entry.
        if is_covered and await self._search.query(
            departed_of(self._departed_by_id, group)
        ):
            is_covered = False
            self._postpone_check(group)
        roster = next_roster(recorded, previous, listed, is_covered)
        if roster != recorded:
            if not await self._rosters.write(stored, roster):
                return
            logging.info(
                "succession: roster group=%s listed=%d departed=%d",
                group,
                len(listed),
                len(roster - listed),
            )
        self._roster_by_group[group] = roster
        if roster == listed:
            self._settled_by_group[group] = _claims(listings)
        self._compared_at_by_group[group] = current_time()

    async def _check_coverage(
        self, group: str, listings: tuple[MemberListing, ...]
    ) -> bool:
        """Whether departed members are covered; a failed check is not repeated soon.

        Each check takes slots of the members.
        """
        if current_time() < self._uncovered_until_by_group.get(group, 0.0):
            return False
        is_covered = await self._is_covered(listings)
        if not is_covered:
            self._postpone_check(group)
        return is_covered

    def _postpone_check(self, group: str) -> None:
        self._uncovered_until_by_group[group] = current_time() + UNCOVERED_RETRY_S

    async def _is_covered(self, listings: tuple[MemberListing, ...]) -> bool:
        """Whether a staying replica receives all that the primary now has."""
        primaries = tuple(listing for listing in listings if listing.claims_primary)
        replicas = tuple(
            listing
            for listing in listings
            if not (listing.claims_primary or listing.leaving)
        )
        if len(primaries) != 1:
            return False
        primary = (await self._search.query(primaries)).get(primaries[0].id)
        if primary is None or not primary.claims_primary:
            return False
        deadline = current_time() + COVER_TIMEOUT_S
        while current_time() < deadline:
            status_by_member = await self._search.query(replicas)
            if any(s.received >= primary.received for s in status_by_member.values()):
                return True
            await sleep(COVER_POLL_INTERVAL_S)
        return False


def _claims(listings: Iterable[MemberListing]) -> frozenset[tuple[str, bool]]:
    return frozenset((listing.address, listing.claims_primary) for listing in listings)
