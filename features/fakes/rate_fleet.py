"""Instances that share a rate, driven in simulated time."""

from heapq import heappop, heappush
from random import Random

from jackdawspread.decisions.rates.admit_request import AdmitRequest
from jackdawspread.decisions.rates.rate_bucket import RateBucket
from jackdawspread.decisions.rates.rate_limiter import (
    RateLimiter,
    decide_rate,
    next_rate_deadline,
)
from jackdawspread.decisions.rates.rate_share import rate_share
from jackdawspread.decisions.rates.rate_timer_fired import RateTimerFired
from jackdawspread.decisions.rates.refuse_request import RefuseRequest
from jackdawspread.decisions.rates.request_arrived import RequestArrived
from jackdawspread.decisions.rates.send_spend_grant import SendSpendGrant
from jackdawspread.decisions.rates.send_spend_request import SendSpendRequest
from jackdawspread.decisions.rates.spend_grant_received import SpendGrantReceived
from jackdawspread.decisions.rates.spend_request_received import SpendRequestReceived
from jackdawspread.messages.view import View
from jackdawspread.messages.view_member import ViewMember

MESSAGE_DELAY_S = 0.002
# Some messages take nearly as long as the lifetime of a grant.
SLOW_MESSAGE_S = 0.04
SLOW_MESSAGE_FRACTION = 0.2
VIEW_CHANGE_INTERVAL_S = 0.7
MESSAGE_LOSS_FRACTION = 0.05


class RateFleet:
    """Runs the rate decisions of several instances with lossy messages."""

    def __init__(self, names: list[str], rate: float, burst: int, seed: int) -> None:
        self.rate, self.burst = rate, burst
        self.random = Random(seed)
        self.now = 0.0
        self.admitted: list[float] = []
        self.refused = 0
        self._events: list[tuple[float, int, str, object]] = []
        self._count = 0
        self.views = {name: (self._view(names, 1),) for name in names}
        self.limiters = {name: RateLimiter(RateBucket(0.0, 0.0)) for name in names}
        self.thaw_at = dict.fromkeys(names, 0.0)
        self.crashed: set[str] = set()
        self.slow_messages = False
        self.wake_at: dict[str, float] = {}

    def _view(self, names: list[str], epoch: int) -> View:
        return View(epoch, {name: ViewMember(name, "perth") for name in names})

    def post(self, at: float, name: str, event: object) -> None:
        """Schedule the delivery of an event to an instance at time ``at``."""
        self._count += 1
        heappush(self._events, (at, self._count, name, event))

    def join(self, name: str) -> None:
        """Start an instance; the existing ones receive its view one after the other."""
        old = sorted(self.views)
        view = self._view([*old, name], 2)
        for number, other in enumerate(old, 1):
            self.post(self.now + number * VIEW_CHANGE_INTERVAL_S, other, view)
        self.views[name] = (self._view(old, 1), view)
        self.limiters[name] = RateLimiter(RateBucket(0.0, self.now))
        self.thaw_at[name] = 0.0

    def settle(self) -> None:
        """Make the latest view the only one at every instance."""
        self.views = {name: views[-1:] for name, views in self.views.items()}

    def run_until(self, end: float) -> None:
        """Handle events and timers in the order of time."""
        while self._events and self._events[0][0] <= end:
            self.now, _, name, event = heappop(self._events)
            if name in self.crashed:
                continue
            if self.thaw_at[name] > self.now:
                self.post(self.thaw_at[name], name, event)
                continue
            self._handle(name, event)
        self.now = end

    def _handle(self, name: str, event: object) -> None:
        if isinstance(event, View):
            self.views[name] = (*self.views[name], event)
            return
        peers = tuple(other for other in self.limiters if other != name)
        match event:
            case RequestArrived():
                event = event._replace(peers=peers, deadline=self.now + 5)
            case RateTimerFired():
                self.wake_at.pop(name, None)
                event = RateTimerFired(peers)
            case SpendGrantReceived():
                event = event._replace(peers=peers)
        share = rate_share("swap", name, self.views[name], self.rate, self.burst)
        limiter, effects = decide_rate(event, self.limiters[name], share, self.now)
        self.limiters[name] = limiter
        for effect in effects:
            self._run_effect(name, effect)
        due = next_rate_deadline(limiter, share)
        if due < self.wake_at.get(name, float("inf")):
            self.wake_at[name] = due
            self.post(due, name, RateTimerFired(()))

    def _run_effect(self, name: str, effect: object) -> None:
        match effect:
            case AdmitRequest():
                self.admitted.append(self.now)
            case RefuseRequest():
                self.refused += 1
            case SendSpendRequest(peer, spend_request_id, requests):
                self._send(peer, SpendRequestReceived(name, spend_request_id, requests))
            case SendSpendGrant(peer, spend_request_id, requests):
                self._send(peer, SpendGrantReceived(spend_request_id, requests, ()))

    def _send(self, peer: str, event: object) -> None:
        if self.random.random() >= MESSAGE_LOSS_FRACTION:
            is_slow = (
                self.slow_messages and self.random.random() < SLOW_MESSAGE_FRACTION
            )
            delay = SLOW_MESSAGE_S if is_slow else MESSAGE_DELAY_S
            delay *= 1 + 0.2 * self.random.random()
            self.post(self.now + delay, peer, event)
