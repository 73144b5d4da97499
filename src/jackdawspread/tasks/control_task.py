"""Task that owns the control state of an instance."""

from collections.abc import Sequence
from functools import singledispatchmethod
from typing import TypeVar

from absl import logging
from trio import (
    BrokenResourceError,
    MemoryReceiveChannel,
    MemorySendChannel,
    WouldBlock,
    current_time,
)

from jackdawspread.decisions.control.control_decision import (
    ControlEvent,
    decide,
    initial_state,
)
from jackdawspread.decisions.control.control_status import snapshot
from jackdawspread.decisions.control.owner_assignments import (
    independent_assignment,
    owner_assignment,
)
from jackdawspread.messages.admin_result import AdminResult
from jackdawspread.messages.admin_submission import AdminSubmission
from jackdawspread.messages.control_log import ControlLog
from jackdawspread.messages.control_snapshot import ControlSnapshot
from jackdawspread.messages.owner_assignment import OwnerAssignment
from jackdawspread.messages.platform_call import PlatformCall
from jackdawspread.messages.platform_outcome import PlatformOutcome
from jackdawspread.messages.send_peer_message import SendPeerMessage
from jackdawspread.messages.term_announcement import TermAnnouncement
from jackdawspread.settings.instance_settings import InstanceSettings

ControlTaskEvent = ControlEvent | AdminSubmission
OwnerUpdate = OwnerAssignment | TermAnnouncement
# A later authority deadline is sent to subscribers in steps of this many seconds,
# much less than the 3 s that authority lasts.
AUTHORITY_DEADLINE_STEP_S = 0.2
T = TypeVar("T")


class ControlTask:
    """Owns the control state and executes the effects of the control decisions.

    Parameters
    ----------
    settings : InstanceSettings
        Settings of the instance.
    incarnation : str
        Random id of this process start, without a full stop.
    inbox : trio.MemoryReceiveChannel
        Events, including ticks and the outcomes of the platform client.
    peer_outbox : trio.MemorySendChannel
        Inbox of the peer client. When it is full, a message is lost, as on a
        network; messages that must arrive are sent again later.
    platform_calls : trio.MemorySendChannel
        Inbox of the platform client. When it is full, the call counts as not sent.
    subscribers : sequence of trio.MemorySendChannel
        Channels that receive a `ControlSnapshot` on each change. A full channel
        receives the newest snapshot later.
    owner_by_database : dict of str to trio.MemorySendChannel
        Inboxes of the owners, for `OwnerAssignment` and `TermAnnouncement` messages.
    """

    def __init__(
        self,
        settings: InstanceSettings,
        incarnation: str,
        inbox: MemoryReceiveChannel[ControlTaskEvent],
        peer_outbox: MemorySendChannel[SendPeerMessage],
        platform_calls: MemorySendChannel[PlatformCall],
        subscribers: Sequence[MemorySendChannel[ControlSnapshot]],
        owner_by_database: dict[str, MemorySendChannel[OwnerUpdate]],
    ) -> None:
        databases = settings.database_by_name
        self._state = initial_state(
            incarnation,
            settings.peer_address,
            settings.failure_domain,
            {name: database.connections for name, database in databases.items()},
        )
        is_independent = settings.experiment.pooling == "independent"
        self._assign = independent_assignment if is_independent else owner_assignment
        self._inbox = inbox
        self._peer_outbox = peer_outbox
        self._platform_calls = platform_calls
        self._subscribers = subscribers
        self._owner_by_database = owner_by_database
        self._reply_by_id: dict[str, MemorySendChannel[AdminResult]] = {}
        self._sent_snapshots: list[ControlSnapshot | None] = [None] * len(subscribers)
        self._assignment_by_database: dict[str, OwnerAssignment] = {}
        self._unsent_terms: dict[str, TermAnnouncement] = {}

    async def run(self) -> None:
        """Handle events until cancelled or the inbox closes."""
        async for event in self._inbox:
            if isinstance(event, AdminSubmission):
                self._reply_by_id[event.request.id] = event.reply_to
                self._handle(event.request)
            else:
                self._handle(event)

    def _handle(self, event: ControlEvent) -> None:
        now = current_time()
        self._state, effects = decide(self._state, event, now)
        for effect in effects:
            self._run_effect(effect)
        self._publish(now)

    @singledispatchmethod
    def _run_effect(self, effect: object) -> None:
        raise TypeError(f"control task cannot execute {type(effect).__name__}")

    @_run_effect.register
    def _(self, effect: ControlLog) -> None:
        logging.info("%s", effect.text)

    @_run_effect.register
    def _(self, effect: SendPeerMessage) -> None:
        try:
            self._peer_outbox.send_nowait(effect)
        except WouldBlock:
            kind = type(effect.message).__name__
            logging.warning("control: peer outbox full, dropped kind=%s", kind)

    @_run_effect.register
    def _(self, effect: PlatformCall) -> None:
        try:
            self._platform_calls.send_nowait(effect)
        except WouldBlock:
            logging.warning("control: platform client busy call=%d", effect.id)
            self._handle(PlatformOutcome(effect.id, 0, {}, False))

    @_run_effect.register
    def _(self, effect: AdminResult) -> None:
        reply_to = self._reply_by_id.pop(effect.id, None)
        if reply_to is not None:
            _offer(reply_to, effect)

    @_run_effect.register
    def _(self, effect: TermAnnouncement) -> None:
        self._unsent_terms[effect.database] = effect

    def _publish(self, now: float) -> None:
        """Send the snapshots, assignments and terms that changed since the last time.

        A message that a full channel refuses is sent again with the next event.
        """
        current = snapshot(self._state, now)
        for index, subscriber in enumerate(self._subscribers):
            if _must_publish(self._sent_snapshots[index], current) and _offer(
                subscriber, current
            ):
                self._sent_snapshots[index] = current
        for database, owner in self._owner_by_database.items():
            assignment = self._assign(self._state, database, now)
            if self._assignment_by_database.get(database) != assignment and _offer(
                owner, assignment
            ):
                self._assignment_by_database[database] = assignment
                logging.info(
                    "control: assigned database=%s generation=%d seat=%d active=%s "
                    "connections=%d",
                    *assignment,
                )
            term = self._unsent_terms.get(database)
            if term is not None and _offer(owner, term):
                del self._unsent_terms[database]


def _must_publish(last: ControlSnapshot | None, current: ControlSnapshot) -> bool:
    if last is None or last._replace(authority_deadline=0.0) != current._replace(
        authority_deadline=0.0
    ):
        return True
    # An earlier deadline is sent at once. A later one is sent in steps.
    gained = current.authority_deadline - last.authority_deadline
    return gained < 0 or gained >= AUTHORITY_DEADLINE_STEP_S


def _offer(channel: MemorySendChannel[T], message: T) -> bool:
    try:
        channel.send_nowait(message)
    except (WouldBlock, BrokenResourceError):
        return False
    return True
