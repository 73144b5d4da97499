"""Composition root of an instance on the users' platform."""

from sys import float_info

from absl import logging
from trio import (
    Event,
    MemorySendChannel,
    Nursery,
    current_time,
    open_memory_channel,
    open_nursery,
    sleep,
    sleep_until,
)

from jackdawspread.codecs.network_address import parse_address
from jackdawspread.decisions.limits.memory_limits import PROCESS_BYTES, memory_limits
from jackdawspread.messages.fleet.acknowledgement_event import AcknowledgementEvent
from jackdawspread.messages.fleet.admission_event import AdmissionEvent
from jackdawspread.messages.fleet.announcement_event import AnnouncementEvent
from jackdawspread.messages.fleet.capacity_event import CapacityEvent
from jackdawspread.messages.fleet.configuration_event import ConfigurationEvent
from jackdawspread.messages.fleet.configuration_reader_event import (
    ConfigurationReaderEvent,
)
from jackdawspread.messages.fleet.failover_event import FailoverEvent
from jackdawspread.messages.fleet.fetch_configuration import FetchConfiguration
from jackdawspread.messages.fleet.instance_capacity import InstanceCapacity
from jackdawspread.messages.fleet.instance_entry import InstanceEntry
from jackdawspread.messages.fleet.member_poll_event import MemberPollEvent
from jackdawspread.messages.fleet.members_seen import MembersSeen
from jackdawspread.messages.fleet.peer_demotion_event import PeerDemotionEvent
from jackdawspread.messages.fleet.peer_event import PeerEvent
from jackdawspread.messages.fleet.promotion_poll_event import PromotionPollEvent
from jackdawspread.messages.fleet.promotion_request import PromotionRequest
from jackdawspread.messages.fleet.rate_leases_announced import RateLeasesAnnounced
from jackdawspread.messages.fleet.record_request import RecordRequest
from jackdawspread.messages.fleet.router_event import RouterEvent
from jackdawspread.messages.pool_hosts.lease_broker_event import LeaseBrokerEvent
from jackdawspread.platform.caller_wire_codec import CallerWireCodec
from jackdawspread.platform.configuration_reader import ConfigurationReader
from jackdawspread.platform.member_poll import MemberPoll
from jackdawspread.platform.member_wire_codec import MemberWireCodec
from jackdawspread.platform.promotion_client import PromotionClient
from jackdawspread.platform.promotion_state_poll import PromotionStatePoll
from jackdawspread.platform.readiness_handler import ReadinessHandler
from jackdawspread.platform.record_store import RecordStore
from jackdawspread.platform.region_check import RegionCheck
from jackdawspread.settings.session_proxy_settings import SessionProxySettings
from jackdawspread.settings.stop_times import StopTimes
from jackdawspread.tasks.fleet.acknowledgement_fences import AcknowledgementFences
from jackdawspread.tasks.fleet.acknowledgement_task import AcknowledgementTask
from jackdawspread.tasks.fleet.activity_log import ActivityLog
from jackdawspread.tasks.fleet.admission_task import AdmissionTask
from jackdawspread.tasks.fleet.capacity_exchange import CapacityExchange
from jackdawspread.tasks.fleet.configuration_copier import ConfigurationCopier
from jackdawspread.tasks.fleet.configuration_exchange import ConfigurationExchange
from jackdawspread.tasks.fleet.configuration_fetches import ConfigurationFetches
from jackdawspread.tasks.fleet.configuration_in_use import ConfigurationInUse
from jackdawspread.tasks.fleet.configuration_keeper import ConfigurationKeeper
from jackdawspread.tasks.fleet.configuration_server import ConfigurationServer
from jackdawspread.tasks.fleet.evacuation_tracker import EvacuationTracker
from jackdawspread.tasks.fleet.failover_attempt import FailoverAttempt
from jackdawspread.tasks.fleet.failover_task import FailoverTask
from jackdawspread.tasks.fleet.instance_directory import InstanceDirectory
from jackdawspread.tasks.fleet.peer_datagrams import PeerDatagrams
from jackdawspread.tasks.fleet.peer_demotion_client import PeerDemotionClient
from jackdawspread.tasks.fleet.peer_demotion_executor import PeerDemotionExecutor
from jackdawspread.tasks.fleet.peer_demotion_task import PeerDemotionTask
from jackdawspread.tasks.fleet.promotion_announcement_task import (
    PromotionAnnouncementTask,
)
from jackdawspread.tasks.fleet.promotion_lock_client import PromotionLockClient
from jackdawspread.tasks.fleet.rate_lease_task import RateLeaseTask
from jackdawspread.tasks.fleet.record_client import RecordClient
from jackdawspread.tasks.fleet.replication_control import ReplicationControl
from jackdawspread.tasks.fleet.roster_client import RosterClient
from jackdawspread.tasks.fleet.roster_task import RosterTask
from jackdawspread.tasks.fleet.store_reading_role import StoreReadingRole
from jackdawspread.tasks.http_server import HttpServer
from jackdawspread.tasks.limits.memory_budget import MemoryBudget
from jackdawspread.tasks.listen import listen
from jackdawspread.tasks.members.member_router import MemberRouter
from jackdawspread.tasks.pool_hosts.host_placement import HostPlacement
from jackdawspread.tasks.pool_hosts.lease_broker import LeaseBroker
from jackdawspread.tasks.pool_hosts.pool_server import PoolServer
from jackdawspread.tasks.sessions.session_listener import SessionListener

# Inbox sizes. A full inbox refuses further requests, which bounds the memory use under
# overload.
ROUTER_INBOX = 20_000
BROKER_INBOX = 10_000
ADMISSION_INBOX = 10_000
ACKNOWLEDGEMENT_INBOX = 20_000
PEERS_INBOX = 10_000
KEEPER_INBOX = 500
SMALL_INBOX = 64
# The load balancer checks readiness once a second and stops sending sessions to an
# instance after two failed checks.
BALANCER_NOTICE_S = 2.3
# More than a load balancer and a few collectors of metrics open.
MAX_MONITORING_CONNECTIONS = 64
# Fractions of the grace time after which no transaction begins, every operation is
# refused, every statement has been answered, and the process exits. A transaction has
# at least the time between the first two to end.
BEGIN_FRACTION = 0.5
REFUSE_FRACTION = 0.75
ANSWER_FRACTION = 0.83
EXIT_FRACTION = 0.85
STOP_POLL_INTERVAL_S = 0.1


class PlatformInstance:
    """Creates and runs the tasks of an instance and the channels between them.

    Parameters
    ----------
    settings : SessionProxySettings
        Settings of the instance.
    stopping : trio.Event
        Set to begin a graceful shutdown.
    """

    def __init__(self, settings: SessionProxySettings, stopping: Event) -> None:
        self._settings = settings
        self._stopping = stopping
        self._router, self._router_inbox = open_memory_channel[RouterEvent](
            ROUTER_INBOX
        )
        self._broker, self._broker_inbox = open_memory_channel[LeaseBrokerEvent](
            BROKER_INBOX
        )
        self._admission, self._admission_inbox = open_memory_channel[AdmissionEvent](
            ADMISSION_INBOX
        )
        self._failover, self._failover_inbox = open_memory_channel[FailoverEvent](
            SMALL_INBOX
        )
        self._members, self._members_inbox = open_memory_channel[MemberPollEvent](
            SMALL_INBOX
        )
        self._rosters, self._rosters_inbox = open_memory_channel[MembersSeen](1)
        self._peers, self._peers_inbox = open_memory_channel[PeerEvent](PEERS_INBOX)
        self._demotions, self._demotions_inbox = open_memory_channel[PeerDemotionEvent](
            SMALL_INBOX
        )
        self._capacities, self._capacities_inbox = open_memory_channel[CapacityEvent](
            SMALL_INBOX
        )
        self._acknowledgements, self._acknowledgements_inbox = open_memory_channel[
            AcknowledgementEvent
        ](ACKNOWLEDGEMENT_INBOX)
        self._announcements, self._announcements_inbox = open_memory_channel[
            AnnouncementEvent
        ](SMALL_INBOX)
        self._promotions, self._promotions_inbox = open_memory_channel[
            PromotionPollEvent
        ](SMALL_INBOX)
        self._budget = MemoryBudget(
            memory_limits(settings.resources.memory_bytes, PROCESS_BYTES)
        )
        self._keeper, self._keeper_inbox = open_memory_channel[ConfigurationEvent](
            KEEPER_INBOX
        )

    async def run(self) -> None:
        """Run all tasks until a graceful shutdown is complete."""
        async with open_nursery() as tasks:
            self._start_routing(tasks)
            self._start_store_readers(tasks)
            self._start_peers(tasks)
            self._start_failover(tasks)
            await self._start_servers(tasks)
            listener = SessionListener(
                await listen(self._settings.session_address),
                CallerWireCodec,
                self._admission,
                self._broker,
                self._router,
                self._settings.max_sessions,
                self._budget,
                self._acknowledgements,
            )
            pool_server = PoolServer(
                await listen(self._settings.peer_address),
                self._router,
                self._settings.max_sessions,
                self._budget,
            )
            copies = ConfigurationServer(
                await listen(self._settings.copy_address), self._keeper
            )
            tasks.start_soon(copies.run)
            tasks.start_soon(listener.run)
            tasks.start_soon(pool_server.run)
            tasks.start_soon(ActivityLog().run)
            logging.info(
                "instance: started name=%s failure_domain=%s address=%s",
                self._settings.instance,
                self._settings.failure_domain,
                self._settings.session_address,
            )
            await self._stopping.wait()
            await self._drain(listener, pool_server)
            tasks.cancel_scope.cancel()
        logging.info("instance: stopped name=%s", self._settings.instance)

    async def _drain(self, listener: SessionListener, pool_server: PoolServer) -> None:
        """Wait until no session and no lease is left, at most until the exit time."""
        times = self._stop_times()
        pool_server.drain(self._settings.grace_s)
        listener.stop(times)
        await sleep_until(times.close_at)
        logging.info("listener: closing idle sessions count=%d", listener.session_count)
        while current_time() < times.exit_at and (
            listener.has_callers or pool_server.has_leases
        ):
            await sleep(STOP_POLL_INTERVAL_S)
        logging.info(
            "listener: sessions still open at exit count=%d", listener.session_count
        )

    def _start_routing(self, tasks: Nursery) -> None:
        settings = self._settings
        router = MemberRouter(
            self._instance_id,
            settings.failure_domain,
            settings.region_by_domain,
            settings.drain_s,
            MemberWireCodec,
            self._router_inbox,
            self._router,
            self._failover,
            self._members,
            self._broker,
            self._peers,
            settings.admits_by_priority,
        )
        admission = AdmissionTask(
            settings.max_configuration_age_s,
            settings.max_outdated_s,
            self._admission_inbox,
            self._peers,
            settings.crossing_delay_limit_s,
            settings.admits_by_priority,
        )
        broker = self._make_broker()
        tasks.start_soon(router.run)
        tasks.start_soon(broker.run)
        tasks.start_soon(admission.run)

    def _make_broker(self) -> LeaseBroker:
        settings = self._settings
        placement = HostPlacement(
            self._instance_id,
            settings.failure_domain,
            settings.crossing_delay_limit_s,
            self._router,
            self._capacities,
        )
        return LeaseBroker(
            self._instance_id,
            settings.region_by_domain,
            placement,
            self._broker_inbox,
            self._broker,
            self._router,
        )

    def _start_store_readers(self, tasks: Nursery) -> None:
        """Start what reads the configuration and the members from the store."""
        settings = self._settings
        orders, reader_inbox = open_memory_channel[ConfigurationReaderEvent](
            SMALL_INBOX
        )
        reader = ConfigurationReader(settings.store_address, reader_inbox, self._keeper)
        fetches, copier_inbox = open_memory_channel[FetchConfiguration](1)
        copier = ConfigurationCopier(copier_inbox, self._keeper)
        keeper = self._make_keeper(orders, fetches)
        poll = MemberPoll(
            settings.store_address,
            self._instance_id,
            settings.failure_domain,
            self._members_inbox,
            self._router,
            self._failover,
            self._peers,
            self._rosters,
            self._acknowledgements,
        )
        promotions = PromotionStatePoll(
            settings.store_address,
            self._instance_id,
            settings.failure_domain,
            self._promotions_inbox,
            self._acknowledgements,
            self._peers,
            settings.is_first_start,
        )
        tasks.start_soon(promotions.run)
        tasks.start_soon(reader.run)
        tasks.start_soon(copier.run)
        tasks.start_soon(keeper.run)
        tasks.start_soon(poll.run)

    def _make_keeper(
        self,
        reader: MemorySendChannel[ConfigurationReaderEvent],
        copier: MemorySendChannel[FetchConfiguration],
    ) -> ConfigurationKeeper:
        settings = self._settings
        link_bytes_per_s = min(settings.resources.link_bytes_per_s, float_info.max)
        exchange = ConfigurationExchange(
            self._instance_id,
            InstanceEntry(settings.peer_address, settings.failure_domain),
            link_bytes_per_s,
            parse_address(settings.copy_address)[1],
            StoreReadingRole(self._instance_id, link_bytes_per_s, reader),
            self._peers,
        )
        evacuations = EvacuationTracker(
            settings.region_by_domain.keys(),
            settings.evacuation_s,
            settings.max_configuration_age_s,
        )
        in_use = ConfigurationInUse(
            settings.max_configuration_age_s,
            evacuations if settings.evacuation_s else None,
            RegionCheck(settings.region_by_domain.values()).report,
            self._admission,
            self._router,
            self._acknowledgements,
        )
        fetches = ConfigurationFetches(in_use, exchange, copier)
        return ConfigurationKeeper(in_use, exchange, fetches, self._keeper_inbox)

    def _start_peers(self, tasks: Nursery) -> None:
        """Start what exchanges state with the other instances."""
        entry = InstanceEntry(
            self._settings.peer_address, self._settings.failure_domain
        )
        announced, announcements = open_memory_channel[RateLeasesAnnounced](SMALL_INBOX)
        datagrams = PeerDatagrams(
            self._instance_id,
            entry,
            self._peers_inbox,
            self._admission,
            announced,
            self._members,
            self._keeper,
            self._router,
            self._demotions,
            self._promotions,
            self._acknowledgements,
            self._announcements,
        )
        records = self._open_records("instances", tasks)
        leases = RateLeaseTask(
            self._instance_id,
            entry.address,
            self._open_records("leases", tasks),
            announcements,
            self._admission,
            self._peers,
        )
        directory = InstanceDirectory(
            self._instance_id,
            entry,
            self._settings.is_first_start,
            records,
            self._router,
            self._broker,
            self._members,
            self._keeper,
            self._peers,
            self._promotions,
            self._acknowledgements,
        )
        capacities = self._make_capacity_exchange(records)
        tasks.start_soon(capacities.run)
        tasks.start_soon(datagrams.run)
        tasks.start_soon(leases.run)
        tasks.start_soon(directory.run)

    def _make_capacity_exchange(self, records: RecordClient) -> CapacityExchange:
        resources = self._settings.resources
        return CapacityExchange(
            self._instance_id,
            InstanceCapacity(
                resources.cores,
                min(resources.memory_bytes, float_info.max),
                min(resources.link_bytes_per_s, float_info.max),
            ),
            self._settings.is_first_start,
            records,
            self._capacities_inbox,
            self._router,
            self._broker,
        )

    def _start_failover(self, tasks: Nursery) -> None:
        promotions, promotion_inbox = open_memory_channel[PromotionRequest](SMALL_INBOX)
        promotion_client = PromotionClient(
            self._settings.promotion_address, promotion_inbox
        )
        replication = ReplicationControl(self._router)
        records = self._open_records("succession", tasks)
        locks = PromotionLockClient(self._instance_id, records)
        attempt = FailoverAttempt(
            self._instance_id,
            replication,
            locks,
            promotions,
            self._router,
            PeerDemotionClient(self._router, self._demotions),
            AcknowledgementFences(locks, records, self._announcements),
            self._settings.missing_log_timeout_s,
        )
        demotions = PeerDemotionTask(
            PeerDemotionExecutor(replication, self._router),
            self._demotions_inbox,
            self._peers,
        )
        announcement_task = PromotionAnnouncementTask(
            self._instance_id,
            self._announcements_inbox,
            self._peers,
            self._acknowledgements,
        )
        tasks.start_soon(announcement_task.run)
        # Calls about rosters and reports must not delay the promotion lock.
        roster_records = self._open_records("rosters", tasks)
        rosters = RosterClient(roster_records)
        roster_task = RosterTask(rosters, replication, self._rosters_inbox)
        acknowledgements = AcknowledgementTask(
            self._acknowledgements_inbox,
            replication,
            self._peers,
            self._failover,
            roster_records,
            self._instance_id,
        )
        failover_task = FailoverTask(attempt, self._failover_inbox, self._members)
        tasks.start_soon(promotion_client.run)
        tasks.start_soon(acknowledgements.run)
        tasks.start_soon(failover_task.run)
        tasks.start_soon(roster_task.run)
        tasks.start_soon(demotions.run)

    def _open_records(self, user: str, tasks: Nursery) -> RecordClient:
        """Open a separate connection to the store for one task."""
        calls, inbox = open_memory_channel[RecordRequest](SMALL_INBOX)
        settings = self._settings
        store = RecordStore(
            settings.store_address, user, settings.is_first_start, inbox
        )
        tasks.start_soon(store.run)
        return RecordClient(calls)

    async def _start_servers(self, tasks: Nursery) -> None:
        handle = ReadinessHandler(self._admission, self._stopping).handle
        settings = self._settings
        for part, address in (
            ("readiness", settings.readiness_address),
            ("metrics", settings.metrics_address),
        ):
            server = HttpServer(
                await listen(address),
                handle,
                Event(),
                part,
                self._budget,
                MAX_MONITORING_CONNECTIONS,
            )
            tasks.start_soon(server.run)

    @property
    def _instance_id(self) -> str:
        """Id that a restarted instance keeps and a replacement does not share."""
        return f"{self._settings.instance}@{self._settings.ip}"

    def _stop_times(self) -> StopTimes:
        now, grace_s = current_time(), self._settings.grace_s
        return StopTimes(
            close_at=now + min(BALANCER_NOTICE_S, BEGIN_FRACTION * grace_s),
            begin_until=now + BEGIN_FRACTION * grace_s,
            refuse_at=now + REFUSE_FRACTION * grace_s,
            answer_by=now + ANSWER_FRACTION * grace_s,
            exit_at=now + EXIT_FRACTION * grace_s,
        )
