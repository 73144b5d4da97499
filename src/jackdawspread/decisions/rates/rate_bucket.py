"""Token bucket whose grants to peers stay counted until they expire."""

from typing import NamedTuple

from jackdawspread.decisions.rates.rate_share import RateShare


class RateBucket(NamedTuple):
    """Token bucket of one workspace at one instance.

    Parameters
    ----------
    tokens : float
        Requests that may be admitted now.
    refilled_at : float
        Monotonic time in seconds of the last refill.
    grants : tuple of (float, int)
        Grants to peers that may still be used: expiry time and requests, in order
        of expiry.
    """

    tokens: float
    refilled_at: float
    grants: tuple[tuple[float, int], ...] = ()


def refill(bucket: RateBucket, share: RateShare, now: float) -> RateBucket:
    """Add the tokens earned since the last refill.

    Tokens and unexpired grants together never exceed the burst, so no window
    holds more admissions than the burst plus the rate over the window. Each
    stretch between two expiries has its own limit: a peer may use a grant up to
    its expiry, so nothing earned under a full limit may be there just after it.
    """
    tokens, at = bucket.tokens, bucket.refilled_at
    counted = sum(requests for _, requests in bucket.grants)
    for expiry, requests in bucket.grants:
        if expiry > now:
            break
        tokens = _earn(tokens, share, counted, expiry - at)
        at, counted = max(at, expiry), counted - requests
    grants = tuple(grant for grant in bucket.grants if grant[0] > now)
    return RateBucket(_earn(tokens, share, counted, now - at), now, grants)


def _earn(tokens: float, share: RateShare, counted: int, seconds: float) -> float:
    limit = max(0.0, share.burst - counted)
    return min(limit, tokens + share.rate * max(0.0, seconds))


def spend(bucket: RateBucket, requests: int) -> tuple[RateBucket, int]:
    """Take up to ``requests`` whole tokens and return how many were taken."""
    taken = min(requests, int(bucket.tokens + TOKEN_ROUNDING))
    return bucket._replace(tokens=max(0.0, bucket.tokens - taken)), taken


def grant(bucket: RateBucket, requests: int, expiry: float) -> tuple[RateBucket, int]:
    """Take tokens for a peer, counted as in use until ``expiry``."""
    bucket, taken = spend(bucket, requests)
    if taken:
        bucket = bucket._replace(grants=(*bucket.grants, (expiry, taken)))
    return bucket, taken


# Sums of small refills fall short of a whole token by rounding.
TOKEN_ROUNDING = 1e-9
