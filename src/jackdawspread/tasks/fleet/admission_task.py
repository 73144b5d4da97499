"""Admission of operations."""

from functools import singledispatchmethod

from absl import logging
from trio import (
    BrokenResourceError,
    MemoryReceiveChannel,
    MemorySendChannel,
    WouldBlock,
    current_time,
    move_on_after,
)

from jackdawspread.decisions.rates.rate_bucket import RateBucket, refill, spend
from jackdawspread.decisions.sessions.operation_check import (
    check_operation,
    refuse_rate,
)
from jackdawspread.decisions.shares.demand_meter import (
    DemandMeter,
    count,
    current_rate,
)
from jackdawspread.decisions.shares.share_of import share_of
from jackdawspread.messages.fleet.admission_event import AdmissionEvent
from jackdawspread.messages.fleet.admit_operation import AdmitOperation
from jackdawspread.messages.fleet.configuration_seen import ConfigurationSeen
from jackdawspread.messages.fleet.demand_seen import DemandSeen
from jackdawspread.messages.fleet.fleet_configuration import FleetConfiguration
from jackdawspread.messages.fleet.operation_admitted import OperationAdmitted
from jackdawspread.messages.fleet.readiness_asked import ReadinessAsked
from jackdawspread.messages.fleet.shares_held import SharesHeld
from jackdawspread.messages.refusal import Refusal
from jackdawspread.tasks.fleet.fleet_metrics import (
    ADMISSIONS,
    CONFIGURATION_AGE,
    CONFIGURATION_VERSION,
    SHARE,
)
from jackdawspread.tasks.steady_clock import steady_time

# The demand is reported this often; the shares task decides when to renew.
DEMAND_REPORT_S = 0.5
# A new bucket holds this part of its burst, as an earlier process of this instance
# may just have used it.
FIRST_FILL = 0.25


class AdmissionTask:
    """Owns the configuration and the rate buckets of this instance.

    Parameters
    ----------
    max_age_s : float
        Age of the configuration from which operations are refused.
    inbox : trio.MemoryReceiveChannel
        Questions, configurations and shares.
    demand : trio.MemorySendChannel
        Takes the demand of the workspaces.
    """

    def __init__(
        self,
        max_age_s: float,
        inbox: MemoryReceiveChannel[AdmissionEvent],
        demand: MemorySendChannel[DemandSeen],
    ) -> None:
        self._max_age_s = max_age_s
        self._inbox = inbox
        self._demand = demand
        self._configuration: FleetConfiguration | None = None
        self._confirmed_at = 0.0
        self._shares = SharesHeld({}, 0.0)
        self._bucket_by_workspace: dict[str, RateBucket] = {}
        self._meter_by_workspace: dict[str, DemandMeter] = {}
        self._starved = False

    async def run(self) -> None:
        """Answer questions until cancelled."""
        report_at = current_time()
        while True:
            with move_on_after(max(0.0, report_at - current_time())):
                self._handle(await self._inbox.receive())
            if current_time() >= report_at:
                report_at = current_time() + DEMAND_REPORT_S
                self._report_demand()

    @singledispatchmethod
    def _handle(self, event: object) -> None:
        raise TypeError(f"admission does not handle {type(event).__name__}")

    @_handle.register
    def _(self, event: AdmitOperation) -> None:
        answer = check_operation(
            self._configuration, self._age(), self._max_age_s, event.database, event.key
        )
        if event.spend and isinstance(answer, OperationAdmitted):
            answer = self._spend(answer)
        code = answer.code if isinstance(answer, Refusal) else "admitted"
        if event.spend:
            ADMISSIONS.labels(code).inc()
        try:
            event.reply_to.send_nowait(answer)
        except BrokenResourceError:
            logging.vlog(1, "admission: the session is gone")

    @_handle.register
    def _(self, event: ConfigurationSeen) -> None:
        self._confirmed_at = max(self._confirmed_at, event.as_of)
        newest = event.configuration
        known = self._configuration
        if newest is None or (known is not None and newest.version <= known.version):
            return
        logging.info(
            "admission: configuration version=%d previous=%s routes=%d workspaces=%d "
            "age_ms=%d",
            newest.version,
            known.version if known is not None else "none",
            len(newest.route_by_database),
            len(newest.limit_by_workspace),
            1000 * (steady_time() - event.as_of),
        )
        self._configuration = newest
        CONFIGURATION_VERSION.set(newest.version)
        self._report_demand()

    @_handle.register
    def _(self, event: SharesHeld) -> None:
        self._shares = event
        for workspace, fraction in event.fraction_by_workspace.items():
            SHARE.labels(workspace).set(fraction)

    @_handle.register
    def _(self, event: ReadinessAsked) -> None:
        if self._configuration is None:
            event.reply_to.send_nowait("no configuration has been read yet")
        elif self._age() > self._max_age_s:
            event.reply_to.send_nowait("the configuration is too old")
        else:
            event.reply_to.send_nowait("")

    def _age(self) -> float:
        age = steady_time() - self._confirmed_at
        CONFIGURATION_AGE.set(age)
        return age

    def _spend(self, admitted: OperationAdmitted) -> OperationAdmitted | Refusal:
        """Take one token of the workspace, if its share has one."""
        assert self._configuration is not None
        workspace, now = admitted.workspace, current_time()
        limit = self._configuration.limit_by_workspace.get(workspace)
        if limit is None:
            return admitted
        meter = self._meter_by_workspace.get(workspace, DemandMeter())
        self._meter_by_workspace[workspace] = count(meter, now)
        fraction = self._shares.fraction_by_workspace.get(workspace, 0.0)
        if steady_time() > self._shares.held_until:
            fraction = 0.0
        share = share_of(limit, fraction)
        bucket = self._bucket_by_workspace.get(workspace)
        if bucket is None:
            bucket = RateBucket(FIRST_FILL * share.burst, now)
        bucket, taken = spend(refill(bucket, share, now), 1)
        self._bucket_by_workspace[workspace] = bucket
        if taken:
            return admitted
        self._starved = True
        wait_s = (1 - bucket.tokens) / share.rate if share.rate else 1.0
        return refuse_rate(workspace, fraction, wait_s)

    def _report_demand(self) -> None:
        if self._configuration is None:
            return
        now = current_time()
        limits = self._configuration.limit_by_workspace
        rates = {
            workspace: current_rate(meter, now)
            for workspace, meter in self._meter_by_workspace.items()
        }
        rate_limits = {name: limit.rate_per_s for name, limit in limits.items()}
        try:
            self._demand.send_nowait(DemandSeen(rates, rate_limits, self._starved))
            self._starved = False
        except WouldBlock:
            # The shares task is waiting for the store; the next report replaces it.
            logging.vlog(1, "admission: demand not reported")
