"""Admission of operations."""

from functools import singledispatchmethod

from absl import logging
from trio import (
    MemoryReceiveChannel,
    MemorySendChannel,
    WouldBlock,
    current_time,
    move_on_at,
)

from jackdawspread.decisions.sessions.operation_check import (
    check_operation,
    refuse_rate,
)
from jackdawspread.messages.fleet.admission_event import AdmissionEvent
from jackdawspread.messages.fleet.admission_request import AdmissionRequest
from jackdawspread.messages.fleet.configuration_seen import ConfigurationSeen
from jackdawspread.messages.fleet.demand_report import DemandReport
from jackdawspread.messages.fleet.fleet_configuration import FleetConfiguration
from jackdawspread.messages.fleet.lend_tokens import LendTokens
from jackdawspread.messages.fleet.loan_event import LoanEvent
from jackdawspread.messages.fleet.operation_admitted import OperationAdmitted
from jackdawspread.messages.fleet.operation_not_run import OperationNotRun
from jackdawspread.messages.fleet.readiness_check import ReadinessCheck
from jackdawspread.messages.fleet.shares_held import SharesHeld
from jackdawspread.messages.fleet.tokens_received import TokensReceived
from jackdawspread.messages.refusal import Refusal
from jackdawspread.tasks.boot_clock import seconds_since_boot
from jackdawspread.tasks.fleet.fleet_metrics import (
    CONFIGURATION_AGE,
    CONFIGURATION_VERSION,
    SHARE,
)
from jackdawspread.tasks.fleet.loan_requester import LOAN_TIMEOUT_S, LoanRequester
from jackdawspread.tasks.fleet.pending_admission import PendingAdmission
from jackdawspread.tasks.fleet.rate_buckets import RateBuckets
from jackdawspread.tasks.fleet.send_admission_reply import send_admission_reply

# Interval of demand reports; the shares task decides when to renew the shares.
DEMAND_REPORT_INTERVAL_S = 0.5
# Requests that arrive during startup wait this long for the first configuration and
# the first shares.
START_TIMEOUT_S = 1.0


class AdmissionTask:
    """Owns the configuration and the rate buckets of this instance.

    Parameters
    ----------
    max_age_s : float
        Age of the configuration in seconds beyond which operations are refused.
    inbox : trio.MemoryReceiveChannel
        Admission requests, configurations, shares and loans.
    demand : trio.MemorySendChannel
        Receives the demand of the workspaces.
    loans : trio.MemorySendChannel
        Receives requests for loans of tokens.
    """

    def __init__(
        self,
        max_age_s: float,
        inbox: MemoryReceiveChannel[AdmissionEvent],
        demand: MemorySendChannel[DemandReport],
        loans: MemorySendChannel[LoanEvent],
    ) -> None:
        self._max_age_s = max_age_s
        self._inbox = inbox
        self._demand = demand
        self._loan_requester = LoanRequester(loans)
        self._configuration: FleetConfiguration | None = None
        self._confirmed_at = 0.0
        self._buckets = RateBuckets()
        self._waiting: list[PendingAdmission] = []
        self._starved = False

    async def run(self) -> None:
        """Handle events until cancelled."""
        report_at = current_time()
        while True:
            wake_at = min([report_at, *(item.deadline for item in self._waiting)])
            with move_on_at(wake_at):
                self._handle(await self._inbox.receive())
            now = current_time()
            self._answer_expired(now)
            if now >= report_at:
                report_at = now + DEMAND_REPORT_INTERVAL_S
                self._report_demand()

    @singledispatchmethod
    def _handle(self, event: object) -> None:
        raise TypeError(f"admission does not handle {type(event).__name__}")

    @_handle.register
    def _(self, event: AdmissionRequest) -> None:
        now = current_time()
        if self._configuration is None or self._buckets.shares is None:
            self._waiting.append(PendingAdmission(event, now + START_TIMEOUT_S))
            return
        checked = self._check(event)
        limited = self._limited_workspace(event, checked)
        if limited:
            self._buckets.count_demand(limited, now)
            if not self._buckets.spend(limited, 1, now):
                self._borrow_or_refuse(event, limited, now)
                return
        send_admission_reply(event, checked)

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
            1000 * (seconds_since_boot() - event.as_of),
        )
        self._configuration = newest
        self._buckets.limit_by_workspace = newest.limit_by_workspace
        CONFIGURATION_VERSION.set(newest.version)
        self._report_demand()
        self._answer_waiting()

    @_handle.register
    def _(self, event: SharesHeld) -> None:
        self._buckets.shares = event
        for workspace, fraction in event.fraction_by_workspace.items():
            SHARE.labels(workspace).set(fraction)
        if event.held_until:
            self._answer_waiting()

    @_handle.register
    def _(self, event: OperationNotRun) -> None:
        self._buckets.add(event.workspace, 1, current_time())

    @_handle.register
    def _(self, event: LendTokens) -> None:
        lent = self._buckets.lend(event.workspace, event.tokens, current_time())
        event.reply_to.send_nowait(lent)

    @_handle.register
    def _(self, event: TokensReceived) -> None:
        """Admit operations that wait for tokens, and keep the remaining tokens."""
        left = event.tokens
        for item in tuple(self._waiting):
            checked = self._check(item.request)
            limited = self._limited_workspace(item.request, checked)
            if left and limited == event.workspace:
                self._waiting.remove(item)
                send_admission_reply(item.request, checked)
                left -= 1
        if left:
            self._buckets.add(event.workspace, left, current_time())

    @_handle.register
    def _(self, event: ReadinessCheck) -> None:
        if self._configuration is None:
            event.reply_to.send_nowait("no configuration has been read yet")
        elif self._age() > self._max_age_s:
            event.reply_to.send_nowait("the configuration is too old")
        else:
            event.reply_to.send_nowait("")

    def _check(self, event: AdmissionRequest) -> OperationAdmitted | Refusal:
        return check_operation(
            self._configuration, self._age(), self._max_age_s, event.database, event.key
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

    def _borrow_or_refuse(
        self, event: AdmissionRequest, workspace: str, now: float
    ) -> None:
        self._starved = True
        if self._loan_requester.request_loan(workspace, now):
            self._waiting.append(PendingAdmission(event, now + LOAN_TIMEOUT_S))
        else:
            self._refuse_rate(event, workspace, now)

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
            if limited and not self._buckets.spend(limited, 1, now):
                self._refuse_rate(item.request, limited, now)
            else:
                send_admission_reply(item.request, checked)

    def _refuse_rate(self, event: AdmissionRequest, workspace: str, now: float) -> None:
        limit = self._buckets.limit_by_workspace[workspace]
        wait_s = self._buckets.wait_s(workspace, now)
        send_admission_reply(
            event, refuse_rate(limit, self._buckets.fraction(workspace), wait_s)
        )

    def _age(self) -> float:
        age = seconds_since_boot() - self._confirmed_at
        CONFIGURATION_AGE.set(age)
        return age

    def _report_demand(self) -> None:
        if self._configuration is None:
            return
        limits = self._configuration.limit_by_workspace
        rate_limits = {name: limit.rate_per_s for name, limit in limits.items()}
        demand = self._buckets.demand(current_time())
        try:
            self._demand.send_nowait(DemandReport(demand, rate_limits, self._starved))
            self._starved = False
        except WouldBlock:
            # The shares task waits for the store. The next report replaces this one.
            logging.vlog(1, "admission: demand not reported, the shares task is busy")
