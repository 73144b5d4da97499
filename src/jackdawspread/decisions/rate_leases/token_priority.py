"""Which operations of a workspace beyond its rate get the tokens that are left."""

from typing import NamedTuple

from jackdawspread.decisions.rates.rate_share import RateShare

# Fraction of the burst that an operation leaves to those of each more urgent priority.
# A workspace within its rate keeps its bucket above it.
RESERVED_FRACTION = 0.1
MAX_RESERVED_FRACTION = 0.3
# A priority that was refused gets a token after this many were given to others, so that
# no kind of operation is refused for as long as its workspace sends too much. Refusals
# are not counted, as they grow with the load of the least urgent operations.
MAX_GIVEN_TO_OTHERS = 9


class TokenTurns(NamedTuple):
    """How many tokens were given to others, for each priority that was refused.

    Parameters
    ----------
    given_by_priority : dict
        Tokens that other priorities got since a priority was first refused one.
    """

    given_by_priority: dict[int, int] = {}


def reserved_tokens(share: RateShare, priority: int) -> float:
    """Return the tokens that an operation leaves to more urgent ones."""
    fraction = min(MAX_RESERVED_FRACTION, RESERVED_FRACTION * max(0, priority))
    return fraction * share.burst


def may_take_token(
    turns: TokenTurns, share: RateShare, tokens: float, priority: int
) -> bool:
    """Return whether an operation may take one of the tokens that are left."""
    if turns.given_by_priority.get(priority, 0) >= MAX_GIVEN_TO_OTHERS:
        return True
    return tokens >= 1 + reserved_tokens(share, priority)


def count_given(turns: TokenTurns, priority: int) -> TokenTurns:
    """Return the turns after an operation got a token."""
    return TokenTurns(
        {
            other: given + 1
            for other, given in turns.given_by_priority.items()
            if other != priority
        }
    )


def count_refused(turns: TokenTurns, priority: int) -> TokenTurns:
    """Return the turns after an operation was refused a token that was left."""
    return TokenTurns({priority: 0, **turns.given_by_priority})
