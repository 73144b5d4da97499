"""Instance that acknowledges commits."""

from typing import NamedTuple

NONE = -1
UNDECIDED = -1
NO_PERMIT = 0
OLD_PERMIT = 1
PERMIT = 2


class Instance(NamedTuple):
    """Promotion state that an instance knows, its permit, and a commit in progress.

    ``permit`` is ``OLD_PERMIT`` if its evidence was read before the write of the record
    that the last fence announced. ``entry`` is the commit that ``member`` was sent at
    ``position``, 0 for none; ``is_changed`` states that the known token, the
    suspension or the outstanding members have changed since. ``remaining`` are the
    members that have to receive it, as a bit mask, ``UNDECIDED`` before the rule was
    applied. ``end`` is the end of the member's log in its answer. ``shown`` is the
    highest one of acknowledged commits, and ``certain`` a position that these have
    reached in any case, as ``end`` may include later commits of others. ``told_shown``
    and ``told_certain`` are those of its first confirmation of the known token.
    """

    token: int = 0
    is_suspended: bool = False
    outstanding: int = 0
    ordered: int = NONE
    permit: int = PERMIT
    entry: int = 0
    position: int = 0
    member: int = NONE
    is_answered: bool = False
    is_changed: bool = False
    remaining: int = UNDECIDED
    end: int = 0
    certain: int = 0
    shown: int = 0
    told_certain: int = 0
    told_shown: int = 0
