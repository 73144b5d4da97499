"""Steps of a read between the failure domains that may serve it."""

from jackdawspread.messages.fleet.departure import Departure

# Codes of refusals that are answered with another request; nothing has run.
LEAVE_DOMAIN = "leave_domain"
NO_ROOM = "no_room"
NEXT_BY_CODE = {LEAVE_DOMAIN: Departure.LEAVE, NO_ROOM: Departure.STAY}


def next_departure(departure: Departure, code: str) -> Departure | None:
    """Return how to request a lease again after a refusal, None if it is final.

    Each step is taken once, so that two failure domains that are both short of room
    do not pass a read to and fro.
    """
    if departure is Departure.STAY:
        return None
    following = NEXT_BY_CODE.get(code)
    return Departure.STAY if following is departure else following
