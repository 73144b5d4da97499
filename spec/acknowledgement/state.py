"""State of the model of the acknowledgements."""

from typing import NamedTuple

from spec.acknowledgement.attempt import Attempt
from spec.acknowledgement.instance import Instance


class State(NamedTuple):
    """Members' logs, the record of the lock, the calls, the attempt and the instances.

    An entry of a log is its term times ten plus its number. ``leads`` states that
    ``primary`` has not been demoted. ``token`` to ``ordered`` are the record; sets of
    members are bit masks. ``calls`` are pairs of a token and a member that may be
    executed at any time, and repeatedly.
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
