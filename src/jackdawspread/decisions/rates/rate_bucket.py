"""Token bucket that counts grants to peers until they expire."""

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
        Grants that peers may still use: monotonic expiry time and number of
        requests, in the order of expiry.
    """

    tokens: float
    refilled_at: float
    grants: tuple[tuple[float, int], ...] = ()


def refill(bucket: RateBucket, share: RateShare, now: float) -> RateBucket:
    """Add the tokens for the time since the last refill.

    Tokens and unexpired grants together never exceed the burst, so no window
    contains more admissions than the burst plus the rate over the window. The period
    between two expiries has its own limit: a peer may use a grant until it expires,
    so tokens that were discarded before the expiry because the bucket was full must
    not be available just after it.
    """
    tokens, at = bucket.tokens, bucket.refilled_at
    counted = sum(requests for _, requests in bucket.grants)
    for expiry, requests in bucket.grants:
        if expiry > now:
            break
        tokens = _add_tokens(tokens, share, counted, expiry - at)
        at, counted = max(at, expiry), counted - requests
    grants = tuple(grant for grant in bucket.grants if grant[0] > now)
    return RateBucket(_add_tokens(tokens, share, counted, now - at), now, grants)


def _add_tokens(tokens: float, share: RateShare, counted: int, seconds: float) -> float:
    limit = max(0.0, share.burst - counted)
    return min(limit, tokens + share.rate * max(0.0, seconds))


def spend(bucket: RateBucket, requests: int) -> tuple[RateBucket, int]:
    """Take up to ``requests`` whole tokens; return the bucket and their number."""
    taken = min(requests, int(bucket.tokens + TOKEN_ROUNDING))
    return bucket._replace(tokens=max(0.0, bucket.tokens - taken)), taken


def grant(bucket: RateBucket, requests: int, expiry: float) -> tuple[RateBucket, int]:
    """Take tokens for a peer, which count against the burst until ``expiry``."""
    bucket, taken = spend(bucket, requests)
    if taken:
        bucket = bucket._replace(grants=(*bucket.grants, (expiry, taken)))
    return bucket, taken


# The sum of many small refills can be slightly less than a whole token.
TOKEN_ROUNDING = 1e-9
