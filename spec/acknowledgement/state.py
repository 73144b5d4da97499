"""State of the model of the acknowledgements."""

from typing import NamedTuple

from spec.acknowledgement.attempt import Attempt
from spec.acknowledgement.instance import Instance

WHOLE = 0
AWAY = 1
RETURNED = 2
SETTLED = 3


class State(NamedTuple):
    """Members' logs, the record of the lock, the calls, the attempt and the instances.

    An entry of a log is its term times ten plus its number. ``leads`` states that
    ``primary`` has not been demoted. ``token`` to ``ordered`` are the record; sets of
    members are bit masks. ``calls`` are pairs of a token and a member that may be
    executed at any time, and repeatedly. ``store`` is ``WHOLE`` before an outage,
    ``AWAY`` in it, ``RETURNED`` while the list may lack members that live, and
    ``SETTLED`` afterwards. ``restarts`` counts members that started without their log.
    """

    logs: tuple[tuple[int, ...], ...]
    present: tuple[bool, ...]
    roster: tuple[bool, ...]
    primary: int
    leads: bool
    term: int
    departures: int
    token: int
    is_free: bool
    is_suspended: bool
    outstanding: int
    ordered: int
    attempt: Attempt
    calls: tuple[tuple[int, int], ...]
    highest_token: int
    instances: tuple[Instance, ...]
    acknowledged: tuple[int, ...]
    store: int = WHOLE
    restarts: int = 0
