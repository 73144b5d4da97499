"""Admits the requests of one workspace within its rate."""

from functools import singledispatch
from typing import NamedTuple

from jackdawspread.decisions.rates.admit_request import AdmitRequest
from jackdawspread.decisions.rates.rate_bucket import RateBucket, grant, refill, spend
from jackdawspread.decisions.rates.rate_share import RateShare
from jackdawspread.decisions.rates.rate_timer_fired import RateTimerFired
from jackdawspread.decisions.rates.refuse_request import RefuseRequest
from jackdawspread.decisions.rates.request_arrived import RequestArrived
from jackdawspread.decisions.rates.send_spend_grant import SendSpendGrant
from jackdawspread.decisions.rates.send_spend_request import SendSpendRequest
from jackdawspread.decisions.rates.spend_grant_received import SpendGrantReceived
from jackdawspread.decisions.rates.spend_request_received import SpendRequestReceived
from jackdawspread.decisions.rates.waiting_request import WaitingRequest

RateEffect = AdmitRequest | RefuseRequest | SendSpendRequest | SendSpendGrant

BORROW_WAIT_S = 0.2
# The requesting instance uses a grant only until this time after its spend request,
# and the granting one counts the grant against its own burst for the same time. At
# 0.2 s the counted grants filled the burst and limited borrowing to burst / 0.2 s.
# A value below BORROW_WAIT_S also allows several attempts when a spend request is
# lost.
GRANT_LIFETIME_S = 0.05
MAX_WAITING = 256
MAX_SPEND_REQUEST = 64
# Peers without free tokens are asked again after this time, which limits the messages
# that a workspace above its rate can cause. At 0.05 s, 9 of 19,150 requests within the
# rate were refused in a simulation; at 0.02 s none were.
SPEND_ROUND_INTERVAL_S = 0.02


class RateLimiter(NamedTuple):
    """State of one workspace's rate at one instance.

    Parameters
    ----------
    bucket : RateBucket
        Tokens of this instance.
    waiting : tuple of WaitingRequest
        Requests that wait for a token, oldest first.
    spend_request_id : str
        Id of the outstanding spend request; empty if there is none.
    spend_request_deadline : float
        Monotonic time in seconds after which a grant for it is discarded.
    remaining_peers : tuple of str
        Peers that have not been asked in this round of spend requests.
    next_round : float
        Monotonic time in seconds before which no new round starts.
    spend_request_count : int
        Number of spend requests sent, from which their ids are made.
    """

    bucket: RateBucket
    waiting: tuple[WaitingRequest, ...] = ()
    spend_request_id: str = ""
    spend_request_deadline: float = 0.0
    remaining_peers: tuple[str, ...] = ()
    next_round: float = 0.0
    spend_request_count: int = 0


RateDecision = tuple[RateLimiter, tuple[RateEffect, ...]]


@singledispatch
def decide_rate(
    event: object, limiter: RateLimiter, share: RateShare, now: float
) -> RateDecision:
    """Return the limiter and the effects after an event.

    Parameters
    ----------
    event : RequestArrived, SpendGrantReceived, SpendRequestReceived or RateTimerFired
        Event to handle.
    limiter : RateLimiter
        State of the workspace's limiter.
    share : RateShare
        Current share of this instance.
    now : float
        Monotonic time in seconds.

    Raises
    ------
    TypeError
        If the type of the event is unknown.
    """
    raise TypeError(f"rate limiter cannot handle {type(event).__name__}")


@decide_rate.register
def _(
    event: RequestArrived, limiter: RateLimiter, share: RateShare, now: float
) -> RateDecision:
    limiter = limiter._replace(bucket=refill(limiter.bucket, share, now))
    if not limiter.waiting:
        bucket, taken = spend(limiter.bucket, 1)
        if taken:
            return limiter._replace(bucket=bucket), (AdmitRequest(event.id, "own"),)
    if len(limiter.waiting) >= MAX_WAITING:
        return limiter, (RefuseRequest(event.id),)
    deadline = min(event.deadline, now + BORROW_WAIT_S)
    waiting = (*limiter.waiting, WaitingRequest(event.id, deadline))
    return _process_waiting(limiter._replace(waiting=waiting), event.peers, now)


@decide_rate.register
def _(
    event: RateTimerFired, limiter: RateLimiter, share: RateShare, now: float
) -> RateDecision:
    limiter = limiter._replace(bucket=refill(limiter.bucket, share, now))
    return _process_waiting(limiter, event.peers, now)


@decide_rate.register
def _(
    event: SpendGrantReceived, limiter: RateLimiter, share: RateShare, now: float
) -> RateDecision:
    limiter = limiter._replace(bucket=refill(limiter.bucket, share, now))
    if event.spend_request_id != limiter.spend_request_id:
        return limiter, ()
    usable = event.requests if now < limiter.spend_request_deadline else 0
    limiter, expired = _refuse_expired(limiter, now)
    admitted = limiter.waiting[:usable]
    borrowed = [AdmitRequest(request.id, "borrowed") for request in admitted]
    limiter = limiter._replace(waiting=limiter.waiting[usable:], spend_request_id="")
    limiter, more = _process_waiting(limiter, event.peers, now)
    return limiter, (*expired, *borrowed, *more)


@decide_rate.register
def _(
    event: SpendRequestReceived, limiter: RateLimiter, share: RateShare, now: float
) -> RateDecision:
    limiter = limiter._replace(bucket=refill(limiter.bucket, share, now))
    limiter, effects = _process_waiting(limiter, (), now)
    bucket, granted = grant(limiter.bucket, event.requests, now + GRANT_LIFETIME_S)
    reply = SendSpendGrant(event.peer, event.spend_request_id, granted)
    return limiter._replace(bucket=bucket), (*effects, reply)


def _process_waiting(
    limiter: RateLimiter, peers: tuple[str, ...], now: float
) -> RateDecision:
    """Refuse expired requests, admit with own tokens, and send a spend request."""
    limiter, expired = _refuse_expired(limiter, now)
    waiting = limiter.waiting
    bucket, taken = spend(limiter.bucket, len(waiting))
    admitted = [AdmitRequest(request.id, "own") for request in waiting[:taken]]
    limiter = limiter._replace(bucket=bucket, waiting=waiting[taken:])
    limiter, spend_request_count = _request_spend(limiter, peers, now)
    return limiter, (*expired, *admitted, *spend_request_count)


def _refuse_expired(limiter: RateLimiter, now: float) -> RateDecision:
    """Refuse requests that have waited too long, also after a pause of the process."""
    refused = tuple(RefuseRequest(r.id) for r in limiter.waiting if r.deadline <= now)
    waiting = tuple(r for r in limiter.waiting if r.deadline > now)
    return limiter._replace(waiting=waiting), refused


def _request_spend(
    limiter: RateLimiter, peers: tuple[str, ...], now: float
) -> RateDecision:
    if limiter.spend_request_id and now >= limiter.spend_request_deadline:
        limiter = limiter._replace(spend_request_id="")
    if not limiter.waiting or limiter.spend_request_id:
        return limiter, ()
    candidates = tuple(peer for peer in limiter.remaining_peers if peer in peers)
    if not candidates:
        if now < limiter.next_round or not peers:
            return limiter, ()
        candidates = peers
        limiter = limiter._replace(next_round=now + SPEND_ROUND_INTERVAL_S)
    spend_request_id = str(limiter.spend_request_count + 1)
    limiter = limiter._replace(
        spend_request_id=spend_request_id,
        spend_request_deadline=now + GRANT_LIFETIME_S,
        remaining_peers=candidates[1:],
        spend_request_count=limiter.spend_request_count + 1,
    )
    requests = min(len(limiter.waiting), MAX_SPEND_REQUEST)
    return limiter, (SendSpendRequest(candidates[0], spend_request_id, requests),)


def next_rate_deadline(limiter: RateLimiter, share: RateShare) -> float:
    """Return the monotonic time at which `RateTimerFired` is due."""
    if not limiter.waiting:
        return float("inf")
    due = min(request.deadline for request in limiter.waiting)
    if share.rate > 0 and share.burst > 0:
        missing = max(0.0, 1.0 - limiter.bucket.tokens)
        due = min(due, limiter.bucket.refilled_at + missing / share.rate)
    due = min(
        due,
        limiter.spend_request_deadline
        if limiter.spend_request_id
        else limiter.next_round,
    )
    return max(due, limiter.bucket.refilled_at + MIN_TIMER_DELAY_S)


# Rounding of the refill could otherwise wake the task in a tight loop.
MIN_TIMER_DELAY_S = 0.001
