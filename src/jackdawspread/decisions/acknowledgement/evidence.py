"""Evidence of the promotion states of all groups."""

from typing import NamedTuple

# A lock of the epoch before is held for at most 5.5 s: 3 s, extended by a permit.
EPOCH_DELAY_S = 6.0


class Evidence(NamedTuple):
    """Newest read of all promotion states.

    Parameters
    ----------
    epoch : int
        Epoch of the store.
    epoch_seen_at : float
        Time in seconds of the boot-time clock at which the epoch had begun for certain.
    as_of : float
        Time in seconds of the boot-time clock at or before which the store was read.
    """

    epoch: int
    epoch_seen_at: float
    as_of: float


def add_evidence(
    evidence: Evidence | None,
    epoch: int,
    as_of: float,
    now: float,
    epoch_age_s: float = 0.0,
) -> Evidence:
    """Return the newest evidence after another read; an earlier epoch gives none.

    ``epoch_age_s`` is how long the epoch had lasted at least when the store was read.
    An instance that starts in an old epoch then need not wait.
    """
    epoch_seen_at = now - epoch_age_s
    if evidence is None or epoch > evidence.epoch:
        return Evidence(epoch, epoch_seen_at, as_of)
    if epoch < evidence.epoch:
        return evidence
    return Evidence(
        epoch,
        min(epoch_seen_at, evidence.epoch_seen_at),
        max(as_of, evidence.as_of),
    )


def is_epoch_settled(evidence: Evidence, now: float) -> bool:
    """Whether no lock of an earlier epoch can be held any more."""
    return now >= evidence.epoch_seen_at + EPOCH_DELAY_S
