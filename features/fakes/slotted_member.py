"""Discrete simulation of a member with slots, and of the callers of its pools."""

from collections import Counter
from collections.abc import Sequence
from heapq import heappop, heappush
from itertools import count
from random import Random

from trio import WouldBlock, open_memory_channel

from jackdawspread.decisions.members.connection_limits import ConnectionLimits
from jackdawspread.messages.fleet.connection_context import EMPTY_CONTEXT
from jackdawspread.messages.fleet.connection_opened import ConnectionOpened
from jackdawspread.messages.fleet.connection_request import ConnectionRequest
from jackdawspread.messages.fleet.lease_returned import LeaseReturned
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.messages.fleet.member_requirement import MemberRequirement
from jackdawspread.messages.refusal import Refusal
from jackdawspread.tasks.members.connection_pools import ConnectionPools

MEMBER = "m0"
HANDSHAKE_S = 0.012
WORK_S = 0.018
QUEUE = 24
MAX_WAIT_S = 0.25
SWEEP_S = 0.05


class SlottedMember:
    """Runs statements and handshakes of several pools in simulated time.

    Parameters
    ----------
    pools : int
        Number of instances that have connections to the member.
    slots : int
        Number of slots of the member.
    limits : ConnectionLimits
        Limits of each pool.
    admits_by_priority : bool
        Whether the pools serve waiting requests by priority.
    """

    def __init__(
        self,
        pools: int,
        slots: int,
        limits: ConnectionLimits,
        admits_by_priority: bool = False,
    ) -> None:
        self.now = 0.0
        self.answered = self.rejected = 0
        self.waits: list[float] = []
        # Refusals at the moment of the request, by workspace.
        self.refused_at_once: dict[str, Refusal] = {}
        self.granted: list[tuple[int, ConnectionRequest, int]] = []
        self._slots = slots
        self._busy = 0
        self._queue: list[tuple[float, object]] = []
        self._events: list[tuple[float, int, object]] = []
        self._order = count()
        self._waiting: list[tuple[int, ConnectionRequest, float, object]] = []
        self.refused_by_workspace: Counter[str] = Counter()
        self._admits_by_priority = admits_by_priority
        # Requests by priority and by whether they were granted or refused.
        self.count_by_result: Counter[tuple[int, str]] = Counter()
        self.pools = [self._make_pool(number, limits) for number in range(pools)]

    def _make_pool(self, number: int, limits: ConnectionLimits) -> ConnectionPools:
        pools = ConnectionPools(
            _NurseryOf(self, number),
            lambda: None,
            None,
            self._offer,
            self._admits_by_priority,
        )
        listing = MemberListing(
            MEMBER, "g", "127.0.0.1:1", "z1", self._slots, False, True
        )
        pools.update_members({MEMBER: listing}, 0.0)
        pools.set_limits(MEMBER, limits)
        return pools

    def _offer(self, request, pool, connection) -> bool:
        request.reply_to.send_nowait(connection)
        return True

    def send(
        self, number: int, workspace: str, single: bool = True, priority: int = 1
    ) -> None:
        """Request a connection at one of the pools."""
        send, receive = open_memory_channel(1)
        request = ConnectionRequest(
            "g",
            workspace,
            MemberRequirement.PRIMARY,
            "",
            1.0,
            None,
            frozenset(),
            priority,
            self.now + MAX_WAIT_S,
            single,
            send,
        )
        self._waiting.append((number, request, self.now, receive))
        self.pools[number].request(MEMBER, request, self.now)
        self._collect()

    def _collect(self) -> None:
        """Take the answers of the pools; statements with a connection are sent on."""
        left = []
        for item in self._waiting:
            number, request, asked_at, receive = item
            try:
                answer = receive.receive_nowait()
            except WouldBlock:
                left.append(item)
                continue
            self.waits.append(self.now - asked_at)
            result = "refused" if isinstance(answer, Refusal) else "granted"
            self.count_by_result[request.priority, result] += 1
            if isinstance(answer, Refusal):
                self.refused_by_workspace[request.workspace] += 1
                if self.now == asked_at:
                    self.refused_at_once[request.workspace] = answer
                continue
            self.granted.append((number, request, answer.id))
            if request.is_single_statement:
                self._arrive(
                    WORK_S, lambda ran, n=number, a=answer: self._end(n, a, ran)
                )
        self._waiting = left

    def open(self, number: int, connection: int) -> None:
        """Begin a handshake, which takes a slot."""
        self._arrive(HANDSHAKE_S, lambda ran: self._opened(number, connection, ran))

    def _arrive(self, work_s: float, done) -> None:
        if self._busy < self._slots:
            self._busy += 1
            self._at(self.now + work_s, lambda: self._leave(done))
        elif len(self._queue) < QUEUE:
            self._queue.append((work_s, done))
        else:
            self.rejected += 1
            self._at(self.now + 0.001, lambda: done(False))

    def _leave(self, done) -> None:
        self._busy -= 1
        if self._queue:
            work_s, following = self._queue.pop(0)
            self._busy += 1
            self._at(self.now + work_s, lambda: self._leave(following))
        done(True)

    def _opened(self, number: int, connection: int, ran: bool) -> None:
        exchanges, _ = open_memory_channel(1)
        opened = ConnectionOpened(
            connection, MEMBER, exchanges if ran else None, "" if ran else "busy"
        )
        self.pools[number].handle_opened(opened, self.now)

    def _end(self, number: int, connection, ran: bool = True) -> None:
        self.answered += ran
        if not ran:
            self.pools[number].handle_busy(MEMBER, self.now)
        self.release(number, connection.id)

    def release(self, number: int, connection: int) -> None:
        """Return a connection to its pool."""
        returned = LeaseReturned(connection, MEMBER, EMPTY_CONTEXT)
        self.pools[number].handle_returned(returned, self.now)
        self._collect()

    def _at(self, time: float, action) -> None:
        heappush(self._events, (time, next(self._order), action))

    def run(self, until: float) -> None:
        """Advance the simulated time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heappop(self._events)
            action()
            self._collect()
        self.now = until

    def play(self, workspaces: int, per_s: float, seconds: float, seed: int) -> None:
        """Send statements of random workspaces at random times."""
        random = Random(seed)
        time = 0.0
        while (time := time + random.expovariate(per_s)) < seconds:
            workspace = random.randrange(workspaces)
            number = workspace % len(self.pools)
            self._at(time, lambda n=number, w=f"w{workspace}": self.send(n, w))
        self.add_sweeps(seconds)
        self.run(seconds)

    def add_load(
        self,
        workspaces: Sequence[str],
        priority: int,
        per_s: float,
        seconds: float,
        random: Random,
    ) -> None:
        """Plan statements of one priority at random times; ``run`` plays them."""
        time = 0.0
        while (time := time + random.expovariate(per_s)) < seconds:
            workspace = random.choice(workspaces)
            number = sum(workspace.encode()) % len(self.pools)
            self._at(
                time,
                lambda n=number, w=workspace: self.send(n, w, priority=priority),
            )

    def add_sweeps(self, seconds: float) -> None:
        """Plan the checks of the pools for requests whose time has expired."""
        for sweep in range(int(seconds / SWEEP_S)):
            self._at(SWEEP_S * sweep, self._sweep)

    def _sweep(self) -> None:
        for pools in self.pools:
            pools.refuse_expired(self.now)


class _NurseryOf:
    """Starts the handshake of a new connection in place of its task."""

    def __init__(self, member: SlottedMember, number: int) -> None:
        self._member = member
        self._number = number

    def start_soon(self, run_isolated, part: str, run) -> None:
        """Begin the handshake."""
        self._member.open(self._number, run.__self__._id)
