"""Chooses the member to promote by what instances have acknowledged."""

from typing import NamedTuple

from jackdawspread.decisions.failover.promotion_candidate import choose_candidate
from jackdawspread.decisions.failover.promotion_evidence import PromotionEvidence
from jackdawspread.messages.fleet.acknowledged_positions import AcknowledgedPositions
from jackdawspread.messages.fleet.log_status import LogStatus


class AcknowledgedChoice(NamedTuple):
    """Member whose log reaches the acknowledged positions.

    Parameters
    ----------
    candidate : LogStatus or None
        Log of the member to promote; None if no log is known to be complete.
    awaits_shown : bool
        Whether another member is chosen once the position that answers have shown needs
        no longer be reached.
    """

    candidate: LogStatus | None
    awaits_shown: bool = False


def choose_acknowledged(
    evidence: PromotionEvidence, acknowledged: AcknowledgedPositions, has_waited: bool
) -> AcknowledgedChoice:
    """Return the member to promote.

    The position that answers have shown may include commits that nobody has
    acknowledged. It is waited for, as only an unlisted replica may have what was
    acknowledged of it. A demoted primary that alone reaches it is promoted again
    meanwhile. After the wait, ``has_waited``, the position that was acknowledged for
    certain is enough.
    """
    candidate = choose_candidate(evidence._replace(acknowledged=acknowledged.shown))
    if candidate is not None and candidate.member != evidence.demoted_primary:
        return AcknowledgedChoice(candidate)
    later = choose_candidate(evidence._replace(acknowledged=acknowledged.certain))
    if later is None or later == candidate:
        return AcknowledgedChoice(candidate)
    if has_waited:
        return AcknowledgedChoice(later)
    return AcknowledgedChoice(candidate, awaits_shown=True)
