"""Chooses operations at random, by deployment."""

from random import Random

from bench.load.seed_data import (
    BUYERS_PER_DATABASE,
    PACKETS_PER_DATABASE,
    buyer_name,
    initial_packet,
)
from bench.operations.amend_limit import AmendLimit
from bench.operations.book_pickup import BookPickup
from bench.operations.browse_packets import BrowsePackets
from bench.operations.claim_packet import ClaimPacket
from bench.operations.offer_packet import OfferPacket
from bench.operations.read_exposure import ReadExposure
from bench.operations.read_own_amendments import ReadOwnAmendments
from bench.operations.read_own_claims import ReadOwnClaims
from bench.operations.read_ratings import ReadRatings
from bench.operations.set_limit import SetLimit

BROWSE_STALENESS_MS = 2_000
RATING_STALENESS_MS = 5_000
EXPOSURE_STALENESS_MS = 1_000
SALTBUSH_MIX = {"offer": 5, "claim": 25, "book": 5, "browse": 45, "own": 20}
SAOMAI_MIX = {"set": 5, "amend": 20, "exposure": 35, "ratings": 25, "own": 15}


def choose_operation(
    deployment: str, random: Random, operation_id: str, caller: int, callers: int
) -> object:
    """Return a random operation of a caller.

    Parameters
    ----------
    deployment : str
        ``saltbush`` or ``saomai``.
    random : random.Random
        Source of the choice.
    operation_id : str
        Unique id, part of the names of new things.
    caller : int
        Index of the caller.
    callers : int
        Number of callers, at least 2.
    """
    if deployment == "saltbush":
        return _choose_saltbush(random, operation_id, caller, callers)
    return _choose_saomai(random)


def _pick(random: Random, mix: dict[str, int]) -> str:
    return random.choices(list(mix), weights=list(mix.values()))[0]


def _choose_saltbush(
    random: Random, operation_id: str, caller: int, callers: int
) -> object:
    kind = _pick(random, SALTBUSH_MIX)
    if kind == "offer":
        packet = f"caller-{caller}/{operation_id}"
        return OfferPacket(packet, random.randint(1, 20))
    if kind == "claim":
        packets = [initial_packet(n, callers) for n in range(PACKETS_PER_DATABASE)]
        others = [name for name, owner in packets if owner != f"caller-{caller}"]
        return ClaimPacket(random.choice(others))
    if kind == "book":
        return BookPickup(random.randint(1, 31))
    return ReadOwnClaims() if kind == "own" else BrowsePackets(BROWSE_STALENESS_MS)


def _choose_saomai(random: Random) -> object:
    kind = _pick(random, SAOMAI_MIX)
    buyer = buyer_name(random.randrange(BUYERS_PER_DATABASE))
    if kind == "set":
        return SetLimit(buyer, 1_000 * random.randint(1, 50))
    if kind == "amend":
        return AmendLimit(buyer, random.choice((-500, -100, 100, 500)))
    if kind == "exposure":
        return ReadExposure(buyer, EXPOSURE_STALENESS_MS)
    return ReadOwnAmendments() if kind == "own" else ReadRatings(RATING_STALENESS_MS)
