"""Answer to a heartbeat."""

from typing import NamedTuple


class HeartbeatAnswer(NamedTuple):
    """Vote that extends the receiver's authority in ``voted_epoch``.

    ``voted_epoch`` is 0 if the sender does not vote. ``epoch`` is the sender's own
    epoch, and ``withdrawn_key_ids`` are the withdrawals that it knows of and the
    configuration version in the heartbeat may not contain.
    """

    incarnation: str
    epoch: int
    voted_epoch: int
    sequence: int
    configuration_version: int
    withdrawn_key_ids: tuple[str, ...] = ()
