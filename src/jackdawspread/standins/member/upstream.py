"""Replication from the primary that a replica follows."""

from collections.abc import Callable
from typing import Any

from absl import logging
from msgspec import ValidationError, convert
from trio import (
    MemoryReceiveChannel,
    MemorySendChannel,
    Nursery,
    current_time,
    open_memory_channel,
)

from jackdawspread.messages.position import Position
from jackdawspread.standins.member.decide_replicate import common_prefix_bound
from jackdawspread.standins.member.events.fetch_request import FetchRequest
from jackdawspread.standins.member.events.fetch_result import FetchResult
from jackdawspread.standins.member.log_entry import LogEntry
from jackdawspread.standins.member.member_state import MemberState
from jackdawspread.standins.member.replica_fetcher import ReplicaFetcher

# Short, so that a replica notices within the failure detection time that its
# primary no longer answers.
PULL_WAIT_MS = 100

PullerFactory = Callable[
    [str, str, MemoryReceiveChannel[FetchRequest], MemorySendChannel[Any]],
    ReplicaFetcher,
]


class Upstream:
    """Keeps one poll outstanding while a replica follows a primary.

    Parameters
    ----------
    outcomes : trio.MemorySendChannel
        Inbox of the node, which takes the outcomes of polls.
    make_fetcher : callable
        Makes the task that polls a primary.
    """

    def __init__(
        self, outcomes: MemorySendChannel[Any], make_fetcher: PullerFactory
    ) -> None:
        self._outcomes = outcomes
        self._make_puller = make_fetcher
        self._followed = (0, "")
        self._puller: ReplicaFetcher | None = None
        self._orders: MemorySendChannel[FetchRequest] | None = None
        self._order: FetchRequest | None = None
        self._probe = Position(0, 0)
        self._name = ""
        self._heard: float | None = None

    @property
    def age(self) -> float | None:
        """Seconds since the primary answered; None if it has not."""
        return None if self._heard is None else current_time() - self._heard

    def adjust(
        self, state: MemberState, cut: frozenset[str], nursery: Nursery | None
    ) -> None:
        """Start, stop or continue polling according to the state."""
        followed = (state.term, state.upstream)
        if followed != self._followed:
            self._stop()
            self._followed = followed
            if state.upstream and nursery is not None:
                self._start(state, nursery)
        if self._orders is None or self._order is not None or self._is_cut(cut):
            return
        self._order = FetchRequest(state.term, self._probe, PULL_WAIT_MS)
        self._orders.send_nowait(self._order)

    def take(
        self, event: FetchResult, state: MemberState, cut: frozenset[str]
    ) -> tuple[LogEntry, ...]:
        """Return the entries of an outcome; none if it is late or from a cut peer."""
        if event.order is not self._order:
            return ()
        self._order = None
        self._name = event.body.get("name", self._name)
        if self._is_cut(cut):
            return ()
        try:
            return self._read(event, state)
        except (KeyError, TypeError, ValidationError) as error:
            logging.error("member: bad entries name=%s error=%s", state.name, error)
            return ()

    def _read(self, event: FetchResult, state: MemberState) -> tuple[LogEntry, ...]:
        if event.status == 200:
            entries = convert(event.body["entries"], tuple[LogEntry, ...])
            self._heard = current_time()
            if entries:
                self._probe = entries[-1].position
            return entries
        if event.body.get("code") == "diverged":
            self._heard = current_time()
            hint = convert(event.body["position"], Position)
            self._probe = common_prefix_bound(state.log, hint)
            logging.info("member: moved back name=%s to=%s", state.name, self._probe)
        return ()

    def _is_cut(self, cut: frozenset[str]) -> bool:
        return self._name in cut or self._followed[1] in cut

    def _stop(self) -> None:
        if self._puller is not None:
            self._puller.scope.cancel()
        self._puller = self._orders = self._order = None
        self._name, self._heard = "", None

    def _start(self, state: MemberState, nursery: Nursery) -> None:
        self._probe = state.end
        self._orders, orders = open_memory_channel[FetchRequest](1)
        self._puller = self._make_puller(
            state.name, state.upstream, orders, self._outcomes
        )
        nursery.start_soon(self._puller.run)
