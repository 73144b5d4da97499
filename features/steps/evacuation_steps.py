"""Steps for the decisions about evacuations and regions."""

from behave import given, then, when
from behave.runner import Context

from jackdawspread.decisions.evacuations.evacuated_members import (
    mark_evacuated,
    work_until,
)
from jackdawspread.decisions.evacuations.evacuation_updates import update_evacuations
from jackdawspread.decisions.evacuations.held_evacuations import HeldEvacuations
from jackdawspread.decisions.failover.find_failover_trigger import find_failover_trigger
from jackdawspread.decisions.failover.unpaused_replica import choose_unpaused
from jackdawspread.decisions.members.eligible_members import usable_primary
from jackdawspread.decisions.members.group_state import GroupState
from jackdawspread.decisions.members.group_updates import apply_member_list
from jackdawspread.decisions.members.routing_refusal import routing_refusal
from jackdawspread.decisions.sessions.allowed_regions import allowed_regions
from jackdawspread.messages.fleet.connection_request import ConnectionRequest
from jackdawspread.messages.fleet.consistency import Consistency
from jackdawspread.messages.fleet.database_route import DatabaseRoute
from jackdawspread.messages.fleet.fleet_configuration import FleetConfiguration
from jackdawspread.messages.fleet.log_status import LogStatus
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.messages.fleet.member_requirement import MemberRequirement
from jackdawspread.messages.position import Position

NOW = 100.0
MAX_AGE_S = 15.0


def _names(text: str) -> list[str]:
    return [name for name in text.split(",") if name]


@given('a group whose primary m0 is in z1 and whose replicas are in "{replicas}"')
def group_in_domains(context: Context, replicas: str) -> None:
    """List the members, the primary first."""
    listings = {
        f"m{n}": MemberListing(
            f"m{n}", "g", f"10.0.0.1:{n + 1}", zone, 2, False, n == 0
        )
        for n, zone in enumerate(["z1", *_names(replicas)])
    }
    context.state = apply_member_list(GroupState(), listings, NOW - 9)


@given('"{domains}" were evacuated {age:f} s ago with a limit of {limit:d} s')
def were_evacuated(context: Context, domains: str, age: float, limit: int) -> None:
    """Apply the evacuations to the state of the group."""
    until = work_until(NOW - age, limit)
    context.state = context.state._replace(
        work_until_by_domain=dict.fromkeys(_names(domains), until)
    )


@then('new work of the primary goes to "{member}"')
def new_work_goes_to(context: Context, member: str) -> None:
    """Compare the member that gets new work as the primary."""
    assert (usable_primary(context.state, NOW, 7.0) or "none") == member


@then('the failover trigger is "{reason}"')
def failover_trigger_is(context: Context, reason: str) -> None:
    """Compare the reason to replace the primary."""
    trigger = find_failover_trigger("g", context.state, NOW)
    assert (trigger.reason if trigger else "none") == reason, trigger


@then('a write is refused at once because of "{reason}"')
def refused_because_of(context: Context, reason: str) -> None:
    """Compare the reason for a refusal by the router."""
    request = ConnectionRequest(
        *("g", "w", MemberRequirement.PRIMARY, "", 0.0, None),
        *(frozenset(), 1, NOW + 1, True, None),
    )
    assert str(routing_refusal(context.state, request, {}, NOW) or "none") == reason


@then("m2 keeps receiving in a switchover, although m1 has the longest log")
def keeps_receiving(context: Context) -> None:
    """Choose the replica that is not paused."""
    trigger = find_failover_trigger("g", context.state, NOW)
    marked = mark_evacuated(context.state.listing_by_id, trigger.evacuated_domains)
    replicas = [marked["m1"], marked["m2"]]
    statuses = {
        id: LogStatus(id, False, 3, Position(3, end), 0)
        for id, end in (("m1", 9), ("m2", 7))
    }
    assert choose_unpaused(replicas, statuses, "") == "m2"


@given('an instance that read "{rows}" before the store was restored')
@given('an instance that read "" before the store was restored')
def instance_read(context: Context, rows: str = "") -> None:
    """Read the requests in the first epoch."""
    context.held = _read(HeldEvacuations(), rows, 1, NOW)


@when('it reads "{copy}" in the copy, and "{later}" {age:d} s later')
@when('it reads "{copy}" in the copy, and "" {age:d} s later')
@when('it reads "" in the copy, and "{later}" {age:d} s later')
@when('it reads "" in the copy, and "" {age:d} s later')
def reads_copy(context: Context, age: int, copy: str = "", later: str = "") -> None:
    """Read the requests twice in the second epoch."""
    copied = _read(context.held, copy, 2, NOW)
    context.held = _read(copied, later, 2, NOW + age)


def _read(held: HeldEvacuations, rows: str, epoch: int, now: float) -> HeldEvacuations:
    pairs = (row.split(":") for row in _names(rows))
    versions = {domain: int(version) for domain, version in pairs}
    return update_evacuations(held, versions, epoch, now, now, MAX_AGE_S)


@then('"{domains}" are evacuated')
def are_evacuated(context: Context, domains: str) -> None:
    """Compare the evacuated failure domains."""
    assert (",".join(context.held.domains) or "none") == domains, context.held


@given('a route for the regions "{route}" and a workspace for "{workspace}"')
@given('a route for the regions "{route}" and a workspace for ""')
@given('a route for the regions "" and a workspace for "{workspace}"')
@given('a route for the regions "" and a workspace for ""')
def restricted(context: Context, route: str = "", workspace: str = "") -> None:
    """Determine the regions for an operation."""
    regions = frozenset(_names(route))
    database = DatabaseRoute("d", "g", Consistency.PRIMARY, 0, 1, 1, 1, False, regions)
    by_workspace = {"w": frozenset(_names(workspace))}
    configuration = FleetConfiguration(1, {}, {}, {}, {}, 3.0, by_workspace)
    context.allowed = allowed_regions(configuration, database, "w")


@then('the operation may run in "{regions}"')
def may_run_in(context: Context, regions: str) -> None:
    """Compare the regions."""
    expected = {"any": frozenset(), "none": None}.get(regions, frozenset([regions]))
    assert context.allowed == expected, context.allowed
