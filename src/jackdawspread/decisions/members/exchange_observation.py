"""What the outcome of an exchange shows about the member."""

from functools import singledispatch

from jackdawspread.messages.fleet.leadership_refused import LeadershipRefused
from jackdawspread.messages.fleet.member_busy import MemberBusy
from jackdawspread.messages.fleet.member_lease import MemberLease
from jackdawspread.messages.fleet.member_observation import MemberObservation
from jackdawspread.messages.fleet.member_unreachable import MemberUnreachable
from jackdawspread.messages.fleet.replica_lagged import ReplicaLagged
from jackdawspread.messages.statements.exchange_failure import ExchangeFailure
from jackdawspread.messages.statements.member_reply import MemberReply


@singledispatch
def observe_exchange(
    outcome: object, lease: MemberLease, now: float
) -> MemberObservation | MemberBusy | None:
    """Return the observation for the member router, None if there is nothing to report.

    ``now`` is a monotonic time in seconds.
    """
    raise TypeError(f"no outcome of type {type(outcome).__name__}")


@observe_exchange.register
def _(
    outcome: ExchangeFailure, lease: MemberLease, now: float
) -> MemberObservation | MemberBusy | None:
    if outcome.timed_out or outcome.at_host:
        return None
    return MemberUnreachable(lease.group, lease.member, now, False, outcome.reason)


@observe_exchange.register
def _(
    outcome: MemberReply, lease: MemberLease, now: float
) -> MemberObservation | MemberBusy | None:
    if outcome.error == "readonly" and lease.requires_primary:
        return LeadershipRefused(lease.group, lease.member, now)
    if outcome.error == "busy":
        return MemberBusy(lease.group, lease.member, now)
    if outcome.error == "lagging":
        return ReplicaLagged(lease.group, lease.member, now)
    return None
