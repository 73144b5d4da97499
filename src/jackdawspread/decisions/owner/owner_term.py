"""Terms, built from generation, round and rank.

The generation is the version of the owners of a database. Each owner of a
generation has a rank and may use one term in each of the generation's rounds, so no
two owners ever promote in the same term.
"""

ROUNDS = 256
RANKS_PER_GENERATION = 4


def make_term(generation: int, round: int, rank: int) -> int:
    """Return the term of an owner in a round of a generation."""
    return (generation * ROUNDS + round) * RANKS_PER_GENERATION + rank


def next_promotion_term(generation: int, rank: int, above: int) -> int | None:
    """Return the least term greater than ``above`` that an owner may use.

    Returns
    -------
    int or None
        None if the generation has no such term; a new generation of owners is then
        needed.
    """
    lowest = make_term(generation, 0, rank)
    round = 0 if above < lowest else (above - lowest) // RANKS_PER_GENERATION + 1
    return make_term(generation, round, rank) if round < ROUNDS else None
