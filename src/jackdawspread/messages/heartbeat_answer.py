"""Answer to a heartbeat."""

from typing import NamedTuple


class HeartbeatAnswer(NamedTuple):
    """Vouches for ``voted_epoch``, or for none if it is 0.

    ``epoch`` is the answering peer's own epoch, ``withdrawn_key_ids`` what it knows
    beyond the configuration that the heartbeat named.
    """

    incarnation: str
    epoch: int
    voted_epoch: int
    sequence: int
    configuration_version: int
    withdrawn_key_ids: tuple[str, ...] = ()
