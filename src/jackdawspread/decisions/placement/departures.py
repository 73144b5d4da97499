"""Decides when reads leave their failure domain, and how many.

Reads leave during a burst in one failure domain, or while a member there is lost or
slow, if the members of other domains have room.
"""

from math import inf

from jackdawspread.decisions.placement.departure_state import DepartureState

# One-way messages between failure domains that a read needs elsewhere: the request for
# a lease, the exchange, and the answers to both.
CROSSINGS_PER_READ = 4
# Hysteresis: leaving begins when the mean wait is longer than the crossings by the
# first factor and ends below the second one, so that single statements change nothing.
BEGIN_FACTOR = 1.5
END_FACTOR = 0.5
# Weight of a new wait in the mean. A step of the load shows within about ten reads.
WAIT_WEIGHT = 0.1
# Fraction of a member's slots up to which its hosts take reads of other domains. The
# rest stays for its own domain, whose demand may rise before the next read is refused.
ROOM_FRACTION = 0.75


def expected_wait_s(in_use: int, slots: int, hosts: int, duration_s: float) -> float:
    """Return the time in seconds for which a new statement waits for a slot.

    Parameters
    ----------
    in_use : int
        Connections to the member that this host has leased, and requests for one.
    slots : int
        Number of statements that the member runs at the same time.
    hosts : int
        Number of hosts that share the member; each one counts on an equal part.
    duration_s : float
        Mean duration of a statement in seconds.
    """
    own_slots = max(1, slots) / max(1, hosts)
    return max(0.0, in_use + 1 - own_slots) * duration_s / own_slots


def decide_departure(
    state: DepartureState, wait_s: float, crossing_delay_s: float
) -> tuple[DepartureState, bool]:
    """Return the new state, and whether a read leaves the failure domain.

    Parameters
    ----------
    state : DepartureState
        State after the previous read.
    wait_s : float
        Expected wait of the read in its own failure domain in seconds; infinite if no
        member there can serve it.
    crossing_delay_s : float
        Delay of a message to the nearest other failure domain in seconds, one way.
    """
    if wait_s == inf:
        return state, True
    cost_s = CROSSINGS_PER_READ * crossing_delay_s
    mean_s = state.wait_s + WAIT_WEIGHT * (wait_s - state.wait_s)
    factor = END_FACTOR if state.is_leaving else BEGIN_FACTOR
    if mean_s <= factor * cost_s:
        return DepartureState(wait_s=mean_s), False
    # The reads that stay wait about as long as the others travel.
    share = max(0.0, 1 - cost_s / mean_s)
    credit = min(1.0, state.credit + share)
    leaves = credit >= 1 and wait_s > cost_s
    return DepartureState(True, mean_s, share, credit - leaves), leaves


def has_room(in_use: int, slots: int, hosts: int) -> bool:
    """Whether a member has room for a read of another failure domain."""
    return in_use + 1 <= ROOM_FRACTION * max(1, slots) / max(1, hosts)
