"""Runs a schedule against the instances of a deployment."""

from collections.abc import Sequence

from trio import (
    MemoryReceiveChannel,
    MemorySendChannel,
    WouldBlock,
    current_time,
    open_memory_channel,
    open_nursery,
    sleep_until,
)

from bench.load.caller import Caller
from bench.load.caller_profile import CallerProfile
from bench.load.ledger import Ledger
from bench.load.operation_record import OperationRecord
from bench.load.outcome import Outcome
from bench.load.scheduled_operation import ScheduledOperation
from bench.operations.prepare_call import prepare_call

CALLER_INBOX = 200
LEDGER_INBOX = 1_000
# As long as a caller pursues one operation; it bounds a run whose callers wait in
# line for a database that does not come back.
DRAIN_S = 20.0


class LoadRun:
    """Sends every operation at its time, whatever became of earlier ones.

    A caller's inbox holds 200 operations; one that finds it full is recorded as
    dropped.

    Parameters
    ----------
    schedule : sequence of ScheduledOperation
        What to send, by time.
    profiles : list of CallerProfile
        Callers, by index.
    instances : list of str
        ``IP:port`` of the instances.
    delay : float
        Seconds between caller and instance, one way.
    """

    def __init__(
        self,
        schedule: Sequence[ScheduledOperation],
        profiles: list[CallerProfile],
        instances: list[str],
        delay: float,
    ) -> None:
        self._schedule = schedule
        self._profiles = profiles
        self._instances = instances
        self._delay = delay
        self._records, inbox = open_memory_channel[OperationRecord](LEDGER_INBOX)
        self.ledger = Ledger(inbox)
        self.start = current_time()
        self.sent = 0

    async def run(self) -> None:
        """Run the schedule and return when every operation has ended."""
        self.start = current_time()
        inboxes = []
        async with open_nursery() as nursery:
            nursery.start_soon(self.ledger.run)
            for index, profile in enumerate(self._profiles):
                send, inbox = open_memory_channel[ScheduledOperation](CALLER_INBOX)
                inboxes.append(send)
                nursery.start_soon(self._caller(profile, index, inbox).run)
            with self._records:
                await self._send_all(inboxes)
            for send in inboxes:
                send.close()

    def _caller(
        self,
        profile: CallerProfile,
        index: int,
        inbox: MemoryReceiveChannel[ScheduledOperation],
    ) -> Caller:
        first = index % len(self._instances)
        instances = self._instances[first:] + self._instances[:first]
        records = self._records.clone()
        last = self._schedule[-1].due if self._schedule else 0.0
        end = self.start + last + DRAIN_S
        return Caller(profile, instances, self._delay, self.start, end, inbox, records)

    async def _send_all(
        self, inboxes: list[MemorySendChannel[ScheduledOperation]]
    ) -> None:
        for scheduled in self._schedule:
            await sleep_until(self.start + scheduled.due)
            self.sent += 1
            try:
                inboxes[scheduled.caller].send_nowait(scheduled)
            except WouldBlock:
                await self._records.send(self._dropped(scheduled))

    def _dropped(self, scheduled: ScheduledOperation) -> OperationRecord:
        profile = self._profiles[scheduled.caller]
        return OperationRecord(
            id=scheduled.id,
            kind=type(scheduled.operation).__name__,
            call=prepare_call(scheduled.operation, profile.name, scheduled.id),
            caller=profile.name,
            workspace=profile.workspace,
            database=scheduled.database,
            due=scheduled.due,
            finished=scheduled.due,
            outcome=Outcome.DROPPED,
        )
