"""Admission of operations."""

from functools import singledispatchmethod
from math import inf, isfinite

from absl import logging
from trio import (
    MemoryReceiveChannel,
    MemorySendChannel,
    WouldBlock,
    current_time,
    move_on_at,
)

from jackdawspread.decisions.members.cold_members import cold_bucket_name
from jackdawspread.decisions.sessions.continuation_check import check_continuation
from jackdawspread.decisions.sessions.operation_check import (
    check_operation,
    refuse_outdated,
    refuse_rate,
)
from jackdawspread.messages.fleet.admission_event import AdmissionEvent
from jackdawspread.messages.fleet.admission_request import AdmissionRequest
from jackdawspread.messages.fleet.cold_token_request import ColdTokenRequest
from jackdawspread.messages.fleet.configuration_seen import ConfigurationSeen
from jackdawspread.messages.fleet.continuation_request import ContinuationRequest
from jackdawspread.messages.fleet.fleet_configuration import FleetConfiguration
from jackdawspread.messages.fleet.newer_configuration_known import (
    NewerConfigurationKnown,
)
from jackdawspread.messages.fleet.operation_admitted import OperationAdmitted
from jackdawspread.messages.fleet.operation_not_run import OperationNotRun
from jackdawspread.messages.fleet.peer_event import PeerEvent
from jackdawspread.messages.fleet.rate_leases_held import RateLeasesHeld
from jackdawspread.messages.fleet.readiness_check import ReadinessCheck
from jackdawspread.messages.fleet.send_datagram import SendDatagram
from jackdawspread.messages.fleet.token_replied import TokenReplied
from jackdawspread.messages.fleet.token_reply import TokenReply
from jackdawspread.messages.fleet.token_requested import TokenRequested
from jackdawspread.messages.refusal import Refusal
from jackdawspread.tasks.boot_clock import seconds_since_boot
from jackdawspread.tasks.fleet.fleet_metrics import (
    CONFIGURATION_AGE,
    CONFIGURATION_DELAY_SECONDS,
    CONFIGURATION_VERSION,
    NEWEST_CONFIGURATION_VERSION,
    RATE_LEASES_HELD,
)
from jackdawspread.tasks.fleet.pending_admission import PendingAdmission
from jackdawspread.tasks.fleet.rate_buckets import RateBuckets
from jackdawspread.tasks.fleet.reply_cold_token import reply_cold_token
from jackdawspread.tasks.fleet.send_admission_reply import send_admission_reply
from jackdawspread.tasks.fleet.token_requests import TokenRequests

# Requests that arrive during startup wait this long for the first configuration and
# for the holders of the rate leases.
START_TIMEOUT_S = 1.0


class AdmissionTask:
    """Owns the configuration and the rate buckets of this instance.

    An operation takes a token from the buckets of this instance if it holds a rate
    lease, or else asks the holders one after the other.

    Parameters
    ----------
    max_age_s : float
        Age of the configuration in seconds beyond which operations are refused.
    max_outdated_s : float
        Time in seconds for which a configuration is used although a newer one is known
        to exist.
    inbox : trio.MemoryReceiveChannel
        Admission requests, configurations, rate leases, and requests and replies of
        other instances.
    peers : trio.MemorySendChannel
        Inbox of the peers task.
    crossing_delay_limit_s : float
        Delay in seconds, one way, from which messages between failure domains are
        avoided.
    admits_by_priority : bool
        Whether operations of a workspace beyond its rate get tokens by priority.
    """

    def __init__(
        self,
        max_age_s: float,
        max_outdated_s: float,
        inbox: MemoryReceiveChannel[AdmissionEvent],
        peers: MemorySendChannel[PeerEvent],
        crossing_delay_limit_s: float,
        admits_by_priority: bool = False,
    ) -> None:
        self._max_age_s = max_age_s
        self._max_outdated_s = max_outdated_s
        self._inbox = inbox
        self._peers = peers
        self._admits_by_priority = admits_by_priority
        self._token_requests = TokenRequests(
            peers, round(1000 * seconds_since_boot()), crossing_delay_limit_s
        )
        self._configuration: FleetConfiguration | None = None
        self._newest_version = 0
        # Boot-clock time in seconds since which a newer version is known to exist.
        self._outdated_since = inf
        self._confirmed_at = -inf
        self._buckets = RateBuckets()
        self._waiting: list[PendingAdmission] = []

    async def run(self) -> None:
        """Handle events until cancelled."""
        while True:
            deadlines = [item.deadline for item in self._waiting]
            with move_on_at(min([*deadlines, self._token_requests.next_timeout])):
                self._handle(await self._inbox.receive())
            self._answer_expired(current_time())

    @singledispatchmethod
    def _handle(self, event: object) -> None:
        raise TypeError(f"admission does not handle {type(event).__name__}")

    @_handle.register
    def _(self, event: AdmissionRequest) -> None:
        now = current_time()
        if self._configuration is None or not self._buckets.is_known:
            self._waiting.append(PendingAdmission(event, now + START_TIMEOUT_S))
            return
        checked = self._check(event)
        limited = self._limited_workspace(event, checked)
        priority = self._token_priority(checked)
        if limited and not self._buckets.spend(limited, now, priority):
            wait_s = self._buckets.wait_s(limited, now, priority)
            if not self._token_requests.start(event, limited, wait_s, now, priority):
                self._refuse_rate(event, limited, wait_s)
            return
        send_admission_reply(event, checked)

    @_handle.register
    def _(self, event: ContinuationRequest) -> None:
        send_admission_reply(event, self._check_continuation(event))

    @_handle.register
    def _(self, event: ColdTokenRequest) -> None:
        now, bucket = current_time(), cold_bucket_name(event.group, event.member)
        if self._buckets.spend(bucket, now):
            reply_cold_token(event, None)
            return
        wait_s = self._buckets.wait_s(bucket, now)
        if not self._token_requests.start(event, bucket, wait_s, now):
            reply_cold_token(event, wait_s)

    @_handle.register
    def _(self, event: ConfigurationSeen) -> None:
        self._confirmed_at = max(self._confirmed_at, event.as_of)
        newest = event.configuration
        known = self._configuration
        if newest is None:
            return
        way = event.way.value if event.way is not None else "unknown"
        delay_s = seconds_since_boot() - event.as_of
        if isfinite(delay_s):
            CONFIGURATION_DELAY_SECONDS.labels(way).observe(delay_s)
        logging.info(
            "admission: configuration version=%d previous=%s routes=%d workspaces=%d "
            "way=%s age_ms=%.0f",
            newest.version,
            known.version if known is not None else "none",
            len(newest.route_by_database),
            len(newest.limit_by_workspace),
            way,
            1000 * delay_s,
        )
        self._configuration = newest
        self._buckets.limit_by_workspace = newest.limit_by_workspace
        self._buckets.group_by_name = newest.group_by_name
        CONFIGURATION_VERSION.set(newest.version)
        self._outdated_since = inf
        self._report_newest(newest.version)
        self._answer_waiting()

    @_handle.register
    def _(self, event: NewerConfigurationKnown) -> None:
        self._outdated_since = event.known_since
        self._report_newest(event.version)

    @_handle.register
    def _(self, event: RateLeasesHeld) -> None:
        self._buckets.set_held(event)
        self._token_requests.holders = event.holders
        RATE_LEASES_HELD.set(self._buckets.leases)
        self._answer_waiting()

    @_handle.register
    def _(self, event: OperationNotRun) -> None:
        # A token of another holder is lost, as it could be spent later beside a full
        # bucket there.
        self._buckets.add(event.workspace, current_time())

    @_handle.register
    def _(self, event: TokenRequested) -> None:
        now, request = current_time(), event.request
        granted = self._buckets.spend(request.workspace, now, request.priority)
        wait_s = self._buckets.wait_s(request.workspace, now, request.priority)
        reply = TokenReply(request.id, granted, round(1000 * wait_s))
        try:
            self._peers.send_nowait(SendDatagram(reply, event.peer))
        except WouldBlock:
            logging.vlog(1, "admission: token not granted, the peers inbox is full")

    @_handle.register
    def _(self, event: TokenReplied) -> None:
        ended = self._token_requests.handle_reply(event, current_time())
        if ended is None:
            return
        if event.reply.granted:
            self._use_token(ended.request)
        else:
            self._refuse_token(ended.request, ended.workspace, ended.wait_s)

    @_handle.register
    def _(self, event: ReadinessCheck) -> None:
        if self._configuration is None:
            event.reply_to.send_nowait("no configuration has been read yet")
        elif self._age() > self._max_age_s:
            event.reply_to.send_nowait("the configuration is too old")
        elif self._is_outdated():
            event.reply_to.send_nowait("a newer configuration has not arrived")
        else:
            event.reply_to.send_nowait("")

    def _report_newest(self, version: int) -> None:
        self._newest_version = version
        NEWEST_CONFIGURATION_VERSION.set(version)

    def _is_outdated(self) -> bool:
        outdated_s = seconds_since_boot() - self._outdated_since
        return outdated_s > self._max_outdated_s

    def _check(self, event: AdmissionRequest) -> OperationAdmitted | Refusal:
        if self._is_outdated():
            return refuse_outdated(self._newest_version)
        return check_operation(
            self._configuration,
            self._age(),
            self._max_age_s,
            event.database,
            event.key,
            self._newest_version,
        )

    def _check_continuation(
        self, event: ContinuationRequest
    ) -> OperationAdmitted | Refusal:
        if self._is_outdated():
            return refuse_outdated(self._newest_version)
        return check_continuation(
            self._configuration,
            self._age(),
            self._max_age_s,
            event.transaction,
            event.key,
            self._newest_version,
        )

    def _limited_workspace(
        self, event: AdmissionRequest, checked: OperationAdmitted | Refusal
    ) -> str:
        """Return the workspace whose rate an operation counts against.

        The result is empty if the operation counts against no rate.
        """
        if not event.counts_against_rate or isinstance(checked, Refusal):
            return ""
        limited = checked.workspace in self._buckets.limit_by_workspace
        return checked.workspace if limited else ""

    def _token_priority(self, checked: OperationAdmitted | Refusal) -> int:
        if not self._admits_by_priority or isinstance(checked, Refusal):
            return 0
        return checked.route.priority

    def _answer_waiting(self) -> None:
        """Handle the waiting requests again after an update."""
        waiting, self._waiting = self._waiting, []
        for item in waiting:
            self._handle(item.request)

    def _answer_expired(self, now: float) -> None:
        for item in [item for item in self._waiting if item.deadline <= now]:
            self._waiting.remove(item)
            checked = self._check(item.request)
            limited = self._limited_workspace(item.request, checked)
            if limited:
                self._refuse_rate(item.request, limited, START_TIMEOUT_S)
            else:
                send_admission_reply(item.request, checked)
        for ended in self._token_requests.expire(now):
            self._refuse_token(ended.request, ended.workspace, ended.wait_s)

    @singledispatchmethod
    def _use_token(self, request: object) -> None:
        raise TypeError(f"no token is granted to {type(request).__name__}")

    @_use_token.register
    def _(self, request: AdmissionRequest) -> None:
        send_admission_reply(request, self._check(request))

    @_use_token.register
    def _(self, request: ColdTokenRequest) -> None:
        reply_cold_token(request, None)

    @singledispatchmethod
    def _refuse_token(self, request: object, workspace: str, wait_s: float) -> None:
        raise TypeError(f"no token is refused to {type(request).__name__}")

    @_refuse_token.register
    def _(self, request: AdmissionRequest, workspace: str, wait_s: float) -> None:
        self._refuse_rate(request, workspace, wait_s)

    @_refuse_token.register
    def _(self, request: ColdTokenRequest, workspace: str, wait_s: float) -> None:
        reply_cold_token(request, wait_s)

    def _refuse_rate(
        self, event: AdmissionRequest, workspace: str, wait_s: float
    ) -> None:
        limit = self._buckets.limit_by_workspace.get(workspace)
        if limit is None:
            # A new configuration has removed the workspace or its limit.
            send_admission_reply(event, self._check(event))
            return
        holders = len(self._token_requests.holders)
        refusal = refuse_rate(limit, self._buckets.leases, holders, wait_s)
        send_admission_reply(event, refusal)

    def _age(self) -> float:
        age = seconds_since_boot() - self._confirmed_at
        CONFIGURATION_AGE.set(age)
        return age
