"""Member of a database."""

from typing import NamedTuple

from spec.replicas.entry import Entry


class Member(NamedTuple):
    """Log, and the term promised, in which the member is primary or follows."""

    log: tuple[Entry, ...]
    promised: int
    primary: bool
