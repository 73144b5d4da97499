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
FETCH_WAIT_MS = 100

FetcherFactory = Callable[
    [str, str, MemoryReceiveChannel[FetchRequest], MemorySendChannel[Any]],
    ReplicaFetcher,
]


class Upstream:
    """Keeps one fetch outstanding while a replica follows a primary.

    Parameters
    ----------
    results : trio.MemorySendChannel
        Inbox of the node, to which the results of fetches are sent.
    make_fetcher : callable
        Creates the task that fetches from a primary.
    """

    def __init__(
        self, results: MemorySendChannel[Any], make_fetcher: FetcherFactory
    ) -> None:
        self._results = results
        self._make_fetcher = make_fetcher
        self._followed = (0, "")
        self._fetcher: ReplicaFetcher | None = None
        self._requests: MemorySendChannel[FetchRequest] | None = None
        self._outstanding: FetchRequest | None = None
        self._fetch_position = Position(0, 0)
        self._primary_name = ""
        self._last_contact_at: float | None = None

    @property
    def age(self) -> float | None:
        """Seconds since the primary last answered; None if it has not answered."""
        return (
            None
            if self._last_contact_at is None
            else current_time() - self._last_contact_at
        )

    def adjust(
        self, state: MemberState, cut: frozenset[str], nursery: Nursery | None
    ) -> None:
        """Start, stop or continue fetching according to the state."""
        followed = (state.term, state.upstream)
        if followed != self._followed:
            self._stop()
            self._followed = followed
            if state.upstream and nursery is not None:
                self._start(state, nursery)
        if self._requests is None or self._outstanding is not None or self._is_cut(cut):
            return
        self._outstanding = FetchRequest(
            state.term, self._fetch_position, FETCH_WAIT_MS
        )
        self._requests.send_nowait(self._outstanding)

    def accept_result(
        self, event: FetchResult, state: MemberState, cut: frozenset[str]
    ) -> tuple[LogEntry, ...]:
        """Return the entries of a result.

        A result of an earlier request, or of a primary that the fault `cut`
        separates from this replica, is ignored.
        """
        if event.request is not self._outstanding:
            return ()
        self._outstanding = None
        self._primary_name = event.body.get("name", self._primary_name)
        if self._is_cut(cut):
            return ()
        try:
            return self._read_result(event, state)
        except (KeyError, TypeError, ValidationError) as error:
            logging.error("member: invalid entries name=%s error=%s", state.name, error)
            return ()

    def _read_result(
        self, event: FetchResult, state: MemberState
    ) -> tuple[LogEntry, ...]:
        if event.status == 200:
            entries = convert(event.body["entries"], tuple[LogEntry, ...])
            self._last_contact_at = current_time()
            if entries:
                self._fetch_position = entries[-1].position
            return entries
        if event.body.get("code") == "diverged":
            self._last_contact_at = current_time()
            hint = convert(event.body["position"], Position)
            self._fetch_position = common_prefix_bound(state.log, hint)
            logging.info(
                "member: fetch position reset name=%s to=%s",
                state.name,
                self._fetch_position,
            )
        return ()

    def _is_cut(self, cut: frozenset[str]) -> bool:
        return self._primary_name in cut or self._followed[1] in cut

    def _stop(self) -> None:
        if self._fetcher is not None:
            self._fetcher.scope.cancel()
        self._fetcher = self._requests = self._outstanding = None
        self._primary_name, self._last_contact_at = "", None

    def _start(self, state: MemberState, nursery: Nursery) -> None:
        self._fetch_position = state.last_position
        self._requests, requests = open_memory_channel[FetchRequest](1)
        self._fetcher = self._make_fetcher(
            state.name, state.upstream, requests, self._results
        )
        nursery.start_soon(self._fetcher.run)
