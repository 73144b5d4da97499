"""Choice of the member that serves a read."""

from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Sequence
from math import inf

from jackdawspread.decisions.owner.member_target import MemberTarget
from jackdawspread.decisions.owner.position_sample import PositionSample
from jackdawspread.decisions.owner.read_candidate import ReadCandidate
from jackdawspread.messages.position import Position
from jackdawspread.messages.routed_request import RoutedRequest

# Replication usually catches up within two probe intervals; a longer wait would
# occupy a slot of the replica that other reads could use.
MAX_REPLICA_WAIT_SECONDS = 0.1
# The data age further while the answer is in transit for a few milliseconds.
ANSWER_MARGIN_SECONDS = 0.01
# Time within which a log entry that a replica has shows in its reads.
APPLY_SECONDS = 0.02


def freshness_floor(
    samples: Sequence[PositionSample], max_staleness: float, now: float
) -> Position | None:
    """Return the least position that is at most ``max_staleness`` seconds old.

    Parameters
    ----------
    samples : sequence of PositionSample
        Samples of the current primary, oldest first.
    max_staleness : float
        Accepted age in seconds.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    Position or None
        None if no sample is recent enough, so that only the primary can serve.
    """
    first = bisect_left(samples, now - max_staleness, key=lambda sample: sample.time)
    return samples[first].position if first < len(samples) else None


def max_data_age(
    samples: Sequence[PositionSample], applied: Position, now: float
) -> float:
    """Return an upper bound of the age of data at ``applied``, in seconds."""
    after = bisect_right(samples, applied, key=lambda sample: sample.position)
    return now - samples[after - 1].time if after else inf


def choose_read_target(
    request: RoutedRequest,
    candidates: Iterable[ReadCandidate],
    samples: Sequence[PositionSample],
    replica_reads: bool,
    primary_wait: float,
    now: float,
) -> MemberTarget | None:
    """Return the member for a read, or None if the read must wait for a free member.

    ``primary_wait`` is the expected queueing time at the primary in seconds.
    """
    primary: ReadCandidate | None = None
    targets: list[tuple[int, int, MemberTarget]] = []
    has_busy_replica = False
    for candidate in candidates:
        if candidate.role == "primary":
            primary = candidate
            continue
        if not replica_reads:
            continue
        target = _replica_target(request, candidate, samples, primary_wait, now)
        if target is not None and candidate.is_free:
            targets.append((target.wait_ms, candidate.in_flight, target))
        has_busy_replica = has_busy_replica or target is not None
    if targets:
        return min(targets, key=lambda ranked: ranked[:2])[2]
    if primary is None or not primary.is_free or has_busy_replica:
        return None
    return MemberTarget(primary.address, "primary", request.position, 0)


def _replica_target(
    request: RoutedRequest,
    replica: ReadCandidate,
    samples: Sequence[PositionSample],
    primary_wait: float,
    now: float,
) -> MemberTarget | None:
    if request.max_staleness is None or replica.applied is None:
        return None
    accepted = request.max_staleness - ANSWER_MARGIN_SECONDS
    for wait in (APPLY_SECONDS, min(MAX_REPLICA_WAIT_SECONDS, primary_wait)):
        # The sample ages while the read waits for its position at the replica.
        floor = freshness_floor(samples, accepted - wait, now)
        if floor is None:
            return None
        needed = floor if request.position is None else max(floor, request.position)
        is_expected = wait > APPLY_SECONDS and replica.lag <= wait
        if replica.applied >= needed or is_expected:
            return MemberTarget(replica.address, "replica", needed, round(wait * 1000))
    return None
