"""Admission of one workspace's requests within its rate."""

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
# An asker uses a grant only this long after asking, and the granter counts it this
# long against its own burst. At 0.2 s the grants counted filled the burst and held
# borrowing to burst / 0.2 s; being shorter than the wait, it also allows several
# tries when an ask is lost.
GRANT_LIFETIME_S = 0.05
MAX_WAITING = 256
MAX_SPEND_REQUEST = 64
# Peers that had nothing to give are asked again after this time, which bounds the
# messages that a workspace above its rate can cause. At 0.05 s, 9 of 19,150 requests
# within the rate were refused in simulation; at 0.02 s none.
SPEND_ROUND_INTERVAL_S = 0.02


class RateLimiter(NamedTuple):
    """State of one workspace's rate at one instance.

    Parameters
    ----------
    bucket : RateBucket
        Tokens of this instance.
    waiting : tuple of WaitingRequest
        Requests that found the bucket empty, oldest first.
    spend_request_id : str
        Id of the ask in flight; empty if none.
    spend_request_deadline : float
        Monotonic time in seconds after which a grant for it is discarded.
    remaining_peers : tuple of str
        Peers that have not answered in this round of asks.
    next_round : float
        Monotonic time in seconds before which no new round starts.
    asks : int
        Number of asks made, for their ids.
    """

    bucket: RateBucket
    waiting: tuple[WaitingRequest, ...] = ()
    spend_request_id: str = ""
    spend_request_deadline: float = 0.0
    remaining_peers: tuple[str, ...] = ()
    next_round: float = 0.0
    asks: int = 0


Decided = tuple[RateLimiter, tuple[RateEffect, ...]]


@singledispatch
def decide_rate(
    event: object, limiter: RateLimiter, share: RateShare, now: float
) -> Decided:
    """Decide on one event.

    Parameters
    ----------
    event : RequestArrived, SpendGrantReceived, SpendRequestReceived or RateTimerFired
        What happened.
    limiter : RateLimiter
        State of the workspace.
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
) -> Decided:
    limiter = limiter._replace(bucket=refill(limiter.bucket, share, now))
    if not limiter.waiting:
        bucket, taken = spend(limiter.bucket, 1)
        if taken:
            return limiter._replace(bucket=bucket), (AdmitRequest(event.id, "own"),)
    if len(limiter.waiting) >= MAX_WAITING:
        return limiter, (RefuseRequest(event.id),)
    deadline = min(event.deadline, now + BORROW_WAIT_S)
    waiting = (*limiter.waiting, WaitingRequest(event.id, deadline))
    return _settle(limiter._replace(waiting=waiting), event.peers, now)


@decide_rate.register
def _(
    event: RateTimerFired, limiter: RateLimiter, share: RateShare, now: float
) -> Decided:
    limiter = limiter._replace(bucket=refill(limiter.bucket, share, now))
    return _settle(limiter, event.peers, now)


@decide_rate.register
def _(
    event: SpendGrantReceived, limiter: RateLimiter, share: RateShare, now: float
) -> Decided:
    limiter = limiter._replace(bucket=refill(limiter.bucket, share, now))
    if event.spend_request_id != limiter.spend_request_id:
        return limiter, ()
    usable = event.requests if now < limiter.spend_request_deadline else 0
    limiter, overdue = _refuse_overdue(limiter, now)
    admitted = limiter.waiting[:usable]
    borrowed = [AdmitRequest(request.id, "borrowed") for request in admitted]
    limiter = limiter._replace(waiting=limiter.waiting[usable:], spend_request_id="")
    limiter, more = _settle(limiter, event.peers, now)
    return limiter, (*overdue, *borrowed, *more)


@decide_rate.register
def _(
    event: SpendRequestReceived, limiter: RateLimiter, share: RateShare, now: float
) -> Decided:
    limiter = limiter._replace(bucket=refill(limiter.bucket, share, now))
    limiter, effects = _settle(limiter, (), now)
    bucket, granted = grant(limiter.bucket, event.requests, now + GRANT_LIFETIME_S)
    reply = SendSpendGrant(event.peer, event.spend_request_id, granted)
    return limiter._replace(bucket=bucket), (*effects, reply)


def _settle(limiter: RateLimiter, peers: tuple[str, ...], now: float) -> Decided:
    """Refuse what has waited, admit from the own bucket, and ask peers."""
    limiter, overdue = _refuse_overdue(limiter, now)
    waiting = limiter.waiting
    bucket, taken = spend(limiter.bucket, len(waiting))
    admitted = [AdmitRequest(request.id, "own") for request in waiting[:taken]]
    limiter = limiter._replace(bucket=bucket, waiting=waiting[taken:])
    limiter, asks = _ask(limiter, peers, now)
    return limiter, (*overdue, *admitted, *asks)


def _refuse_overdue(limiter: RateLimiter, now: float) -> Decided:
    """Refuse what has waited too long, also after a pause of the process."""
    refused = tuple(RefuseRequest(r.id) for r in limiter.waiting if r.deadline <= now)
    waiting = tuple(r for r in limiter.waiting if r.deadline > now)
    return limiter._replace(waiting=waiting), refused


def _ask(limiter: RateLimiter, peers: tuple[str, ...], now: float) -> Decided:
    if limiter.spend_request_id and now >= limiter.spend_request_deadline:
        limiter = limiter._replace(spend_request_id="")
    if not limiter.waiting or limiter.spend_request_id:
        return limiter, ()
    to_ask = tuple(peer for peer in limiter.remaining_peers if peer in peers)
    if not to_ask:
        if now < limiter.next_round or not peers:
            return limiter, ()
        to_ask = peers
        limiter = limiter._replace(next_round=now + SPEND_ROUND_INTERVAL_S)
    spend_request_id = str(limiter.asks + 1)
    limiter = limiter._replace(
        spend_request_id=spend_request_id,
        spend_request_deadline=now + GRANT_LIFETIME_S,
        remaining_peers=to_ask[1:],
        asks=limiter.asks + 1,
    )
    requests = min(len(limiter.waiting), MAX_SPEND_REQUEST)
    return limiter, (SendSpendRequest(to_ask[0], spend_request_id, requests),)


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
    return max(due, limiter.bucket.refilled_at + MIN_WAKE_S)


# Keeps rounding of the refill from waking the task in a tight loop.
MIN_WAKE_S = 0.001
