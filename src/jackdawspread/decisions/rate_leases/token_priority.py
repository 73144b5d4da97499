"""Which operations of a workspace beyond its rate get the tokens that are left."""

from typing import NamedTuple

from jackdawspread.decisions.rates.rate_share import RateShare

# Fraction of the burst that an operation leaves to those of each more urgent priority.
# A workspace within its rate keeps its bucket above it.
RESERVED_FRACTION = 0.1
MAX_RESERVED_FRACTION = 0.3
# A priority that was passed over this often gets the next token, so that no kind of
# operation is refused for as long as its workspace sends too much.
MAX_PASSED_OVER = 9


class TokenTurns(NamedTuple):
    """How often the priorities of a workspace were passed over.

    Parameters
    ----------
    passed_over_by_priority : dict
        Operations of a priority that were refused although there was a token, since
        one was admitted.
    """

    passed_over_by_priority: dict[int, int] = {}


def reserved_tokens(share: RateShare, priority: int) -> float:
    """Return the tokens that an operation leaves to more urgent ones."""
    fraction = min(MAX_RESERVED_FRACTION, RESERVED_FRACTION * max(0, priority))
    return fraction * share.burst


def may_take_token(
    turns: TokenTurns, share: RateShare, tokens: float, priority: int
) -> bool:
    """Return whether an operation may take one of the tokens that are left."""
    if turns.passed_over_by_priority.get(priority, 0) >= MAX_PASSED_OVER:
        return True
    return tokens >= 1 + reserved_tokens(share, priority)


def count_turn(turns: TokenTurns, priority: int, admitted: bool) -> TokenTurns:
    """Return the turns after an operation was admitted or passed over."""
    count = 0 if admitted else turns.passed_over_by_priority.get(priority, 0) + 1
    return TokenTurns({**turns.passed_over_by_priority, priority: count})
