"""Terms, built from generation, round and seat."""

ROUNDS = 256
RANKS_PER_GENERATION = 4


def make_term(generation: int, round: int, rank: int) -> int:
    """Return the term of a seat's round in a generation."""
    return (generation * ROUNDS + round) * RANKS_PER_GENERATION + rank


def next_promotion_term(generation: int, rank: int, above: int) -> int | None:
    """Return the seat's least term greater than ``above``.

    Returns
    -------
    int or None
        None if the generation has no such term; new seats are then needed.
    """
    lowest = make_term(generation, 0, rank)
    round = 0 if above < lowest else (above - lowest) // RANKS_PER_GENERATION + 1
    return make_term(generation, round, rank) if round < ROUNDS else None
