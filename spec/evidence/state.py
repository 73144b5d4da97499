"""State of the model of the evidence."""

from typing import NamedTuple


class State(NamedTuple):
    """Members' logs, the roster and the attempt in progress.

    An entry of a log is its term times ten plus its number, so entries order like
    positions. ``present`` are the members that are listed; the others have left for
    good or have not joined yet. ``is_dark`` states that the primary is silent to
    everyone. ``snapshot`` is the primary's end after the last departure, -1 if none was
    read. ``paused`` and
    ``ordered`` belong to the attempt; ``fenced`` is the primary that it demoted, -1 if
    none. ``is_stuck`` states that no further attempt can pause the replicas.
    """

    logs: tuple[tuple[int, ...], ...]
    present: tuple[bool, ...]
    roster: tuple[bool, ...]
    primary: int
    leads: bool
    is_dark: bool
    term: int
    paused: tuple[bool, ...]
    fenced: int
    ordered: int
    snapshot: int
    departures: int
    acknowledged: tuple[int, ...]
    is_stuck: bool
