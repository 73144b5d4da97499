"""Steps for the connections to the members of evacuated failure domains."""

from behave import given, then, when
from behave.runner import Context
from trio import ClosedResourceError, open_memory_channel

from jackdawspread.messages.fleet.connection_request import ConnectionRequest
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.messages.fleet.member_requirement import MemberRequirement
from jackdawspread.tasks.members.connection_pools import ConnectionPools
from jackdawspread.tasks.members.pooled_connection import PooledConnection

NOW = 100.0
LISTING = MemberListing("m0", "g", "10.0.0.1:80", "z1", 2, False, True)


@given("a connection to a member in z1 that is leased for a transaction")
def leased(context: Context) -> None:
    """Lease an idle connection."""
    context.pools = ConnectionPools(None, None, None, lambda *_: True)
    context.pools.update_members({"m0": LISTING}, NOW)
    context.exchanges, context.inbox = open_memory_channel(1)
    pool = context.pools.pool_by_member["m0"]
    pool.idle.append(PooledConnection(1, "w", context.exchanges))
    request = ConnectionRequest(
        *("g", "w", MemberRequirement.PRIMARY, "", 0.0, None),
        *(frozenset(), 1, NOW + 1, False, None),
    )
    context.pools.request("m0", request, NOW)
    assert list(pool.leased_by_id) == [1]


@when("the member is missing in one list and present in the next one")
def missing_once(context: Context) -> None:
    """Apply two lists."""
    context.pools.update_members({}, NOW)
    context.pools.update_members({"m0": LISTING}, NOW)


@when("z1 is cut off")
def cut_off(context: Context) -> None:
    """Cut the members of the failure domain off."""
    context.pools.cut_off({"z1"})


@then("nothing more can be sent on the connection")
def is_closed(context: Context) -> None:
    """Try to send on the connection."""
    try:
        context.exchanges.send_nowait(None)
    except ClosedResourceError:
        return
    raise AssertionError("the connection is still open")
