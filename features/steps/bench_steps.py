"""Steps for the bench."""

import sys
from pathlib import Path

from behave import given, then, when
from behave.runner import Context

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from bench.check.check_run import check_run
from bench.check.database_contents import DatabaseContents
from bench.check.violations import list_violations
from bench.faults.applied_fault import AppliedFault
from bench.load.attempt import Attempt
from bench.load.operation_record import OperationRecord
from bench.load.outcome import Outcome
from bench.load.schedule import make_schedule
from bench.operations.browse_packets import BrowsePackets
from bench.operations.claim_packet import ClaimPacket
from bench.operations.prepare_call import prepare_call
from bench.operations.read_own_claims import ReadOwnClaims
from bench.plans.deployments import SALTBUSH, SAOMAI
from bench.plans.load_plan import LoadPlan

ACKNOWLEDGED = Attempt("127.0.0.1:1", 200, "", "")
NOT_RUN = Attempt("127.0.0.1:1", 429, "rate_limited", "not_run")
UNKNOWN = Attempt("127.0.0.1:1", 0, "no_answer", "unknown")


def _record(
    record_id: str, operation: object, attempt: Attempt, outcome: Outcome
) -> OperationRecord:
    return OperationRecord(
        id=record_id,
        kind=type(operation).__name__,
        call=prepare_call(operation, "caller-1", record_id),
        caller="caller-1",
        workspace="garden1",
        database="swap1",
        due=0.0,
        finished=1.0,
        outcome=outcome,
        attempts=(attempt,),
        effective=isinstance(operation, ClaimPacket)
        and outcome is Outcome.ACKNOWLEDGED,
    )


def _claim(record_id: str, attempt: Attempt, outcome: Outcome) -> OperationRecord:
    return _record(record_id, ClaimPacket("p"), attempt, outcome)


@given("a run in which claim c1 was acknowledged and stored")
def clean_run(context: Context) -> None:
    """Start from a run without a fault."""
    context.records = [_claim("c1", ACKNOWLEDGED, Outcome.ACKNOWLEDGED)]
    context.stored, context.mismatches, context.error = ["c1"], (), ""
    context.logged, context.faults = {"c1"}, []


@given("claim {record_id} was acknowledged and {state}")
def acknowledged_claim(context: Context, record_id: str, state: str) -> None:
    """Add an acknowledged claim."""
    copies = {"not stored": 0, "stored twice": 2}[state]
    context.records.append(_claim(record_id, ACKNOWLEDGED, Outcome.ACKNOWLEDGED))
    context.stored += [record_id] * copies


@given("claim {record_id} was acknowledged as sold out and stored")
def sold_out_claim(context: Context, record_id: str) -> None:
    """Add a claim that its answer calls without effect."""
    claim = _claim(record_id, ACKNOWLEDGED, Outcome.ACKNOWLEDGED)
    context.records.append(claim._replace(effective=False))
    context.stored.append(record_id)


@given("claim {record_id} was refused as not run and stored")
def refused_claim(context: Context, record_id: str) -> None:
    """Add a refused claim that ran."""
    context.records.append(_claim(record_id, NOT_RUN, Outcome.REFUSED))
    context.stored.append(record_id)


@given("claim {record_id} ended unknown and stored")
def unknown_claim(context: Context, record_id: str) -> None:
    """Add a claim of unknown outcome that ran."""
    context.records.append(_claim(record_id, UNKNOWN, Outcome.UNKNOWN))
    context.stored.append(record_id)


@given("read {record_id} was refused as not run and logged")
def refused_read(context: Context, record_id: str) -> None:
    """Add a refused read that a member ran."""
    read = _record(record_id, BrowsePackets(1), NOT_RUN, Outcome.REFUSED)
    context.records.append(read)
    context.logged.add(record_id)


@given("own read {record_id} lacked an acknowledged claim")
def stale_own_read(context: Context, record_id: str) -> None:
    """Add a read without the caller's own claim."""
    read = _record(record_id, ReadOwnClaims(), ACKNOWLEDGED, Outcome.ACKNOWLEDGED)
    context.records.append(read._replace(missing=("c1",)))


@given("read {record_id} was answered with another's marker")
def foreign_answer(context: Context, record_id: str) -> None:
    """Add a read that got the answer of another request."""
    read = _record(record_id, BrowsePackets(1), ACKNOWLEDGED, Outcome.ACKNOWLEDGED)
    context.records.append(read._replace(marker_matches=False))


@given("a packet's stock disagrees with its claims")
def wrong_stock(context: Context) -> None:
    """Add a packet whose stock was decremented twice."""
    context.mismatches = (("p", 5, 3),)


@given("database swap1 could not be read")
def unreadable(context: Context) -> None:
    """Make the database unreadable."""
    context.error = "swap1-1: read: status 0"


@given("the primary of swap1 was lost for good")
def lost_primary(context: Context) -> None:
    """Lose the primary after the last acknowledged write."""
    context.faults = [AppliedFault(5.0, "killed swap1-1", "swap1")]


@given("writes to swap1 acknowledged at 1.0, 2.0, 2.1, 3.5 and 3.6 seconds")
def timed_writes(context: Context) -> None:
    """Start from acknowledged writes at given times."""
    clean_run(context)
    context.records = [
        _claim(f"c{at}", ACKNOWLEDGED, Outcome.ACKNOWLEDGED)._replace(finished=at)
        for at in (1.0, 2.0, 2.1, 3.5, 3.6)
    ]


@when("the primary of swap1 is killed at 2.05 seconds")
def killed_primary(context: Context) -> None:
    """Kill the primary between two acknowledged writes."""
    context.faults = [AppliedFault(2.05, "killed swap1-1", "swap1")]


def _check(context: Context):
    contents = DatabaseContents(
        tuple(context.stored), context.mismatches, context.error
    )
    return check_run(
        context.records, {"swap1": contents}, context.logged, (), context.faults
    )


@then("the run has no violation")
def no_violation(context: Context) -> None:
    """Check that nothing is reported."""
    assert list_violations(_check(context)) == [], list_violations(_check(context))


@then('the run violates "{promise}"')
def violation(context: Context, promise: str) -> None:
    """Check that exactly the broken promise is reported."""
    violations = list_violations(_check(context))
    assert len(violations) == 1 and promise in violations[0], violations


@then("the failover gap of swap1 is {seconds:g} seconds")
def failover_gap(context: Context, seconds: float) -> None:
    """Check the gap."""
    gap = _check(context).failover_gap_by_database["swap1"]
    assert abs(gap - seconds) < 1e-9, gap


@then("two schedules with one seed are equal, and others differ")
def repeatable(context: Context) -> None:
    """Compare schedules of both deployments."""
    load = LoadPlan(100.0, 3.0, 10_000, 3, 7)
    for plan in (SALTBUSH, SAOMAI):
        assert make_schedule(plan, load) == make_schedule(plan, load)
        operations = [s.operation for s in make_schedule(plan, load)]
        others = make_schedule(plan, load._replace(seed=8))
        assert operations != [s.operation for s in others]


@then("a schedule holds at most its operations and its duration")
def bounded(context: Context) -> None:
    """Check both bounds."""
    load = LoadPlan(100.0, 3.0, 50, 3, 7)
    assert len(make_schedule(SALTBUSH, load)) == 50
    longer = make_schedule(SALTBUSH, load._replace(max_operations=10_000))
    assert len(longer) > 50 and longer[-1].due < 3.0, longer[-1]
