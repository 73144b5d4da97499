"""Steps for the demotion of a primary through other instances."""

from functools import partial

from behave import given, then, when
from behave.runner import Context
from features.fakes.peer_fleet import PeerFleet
from features.fakes.replicated_group import PRIMARY, listing
from trio import run, sleep
from trio.testing import MockClock

from jackdawspread.decisions.failover.primary_health import PrimaryHealth
from jackdawspread.decisions.members.group_state import GroupState
from jackdawspread.decisions.members.reachable_member import reachable_member
from jackdawspread.messages.fleet.instance_entry import InstanceEntry
from jackdawspread.messages.fleet.member_group import MemberGroup
from jackdawspread.tasks.fleet.peer_demotion_client import PeerDemotionClient
from jackdawspread.tasks.members.member_limits import MemberLimits

TOLERANCE_S = 0.001
STATE_BY_TEXT = {
    "answers": GroupState({PRIMARY: listing(PRIMARY)}, PRIMARY),
    "has failed": GroupState(
        {PRIMARY: listing(PRIMARY)}, PRIMARY, primary_health=PrimaryHealth(1)
    ),
    "is not listed": GroupState({}, PRIMARY),
}


def _run(context: Context, ask: partial) -> None:
    run(context.fleet.run, ask, clock=MockClock(autojump_threshold=0))


@given('a primary of term 1 and other instances that are "{kinds}"')
def fleet(context: Context, kinds: str) -> None:
    """Create the instances."""
    context.fleet = PeerFleet([] if kinds == "none" else kinds.split(","))


@given("the member is a replica already")
def replica_already(context: Context) -> None:
    """Let another member be the primary."""
    context.fleet.group.leaders = set()


@when("an instance asks them to demote it under the term {term:d}")
def asks(context: Context, term: int) -> None:
    """Ask once; a later step may ask again."""
    context.terms = [term]

    async def ask(client: PeerDemotionClient) -> None:
        context.status, context.elapsed_s = await context.fleet.ask(term, client)

    _run(context, ask)


@when(
    "{ms:d} ms later the others know it as failed, and the instance asks under the "
    "term {term:d}"
)
def asks_again(context: Context, ms: int, term: int) -> None:
    """Ask twice, so that a reply to the first request arrives during the second."""
    context.fleet = PeerFleet([*context.fleet.kind_by_address.values()])

    async def ask(client: PeerDemotionClient) -> None:
        await context.fleet.ask(context.terms[0], client)
        await sleep(ms / 1000)
        for address in context.fleet.kind_by_address:
            context.fleet.kind_by_address[address] = "failed"
        context.status, context.elapsed_s = await context.fleet.ask(term, client)

    _run(context, ask)


@when("{count:d} requests to demote it arrive at one of them")
def flood(context: Context, count: int) -> None:
    """Deliver the requests at the same time."""
    _run(context, partial(context.fleet.flood, count))


@then('it learns "{result}" after {ms:d} ms')
def learns(context: Context, result: str, ms: int) -> None:
    """Compare the log status, the time and the state of the primary."""
    is_demoted = result == "demoted"
    assert (context.status is not None) == is_demoted, context.status
    assert abs(context.elapsed_s - ms / 1000) < TOLERANCE_S, context.elapsed_s
    if is_demoted:
        assert context.status.member == PRIMARY, context.status
        assert PRIMARY not in context.fleet.group.leaders


@then("no command to demote a member was sent")
def no_command(context: Context) -> None:
    """Check the commands."""
    assert not context.fleet.commands, context.fleet.commands


@then("{count:d} of them are refused at once")
def refused(context: Context, count: int) -> None:
    """Compare the number of refusals."""
    assert context.fleet.refused_count == count, context.fleet.refused_count


@given("a fleet of {instances:d} instances in {domains:d} failure domains")
def listed_fleet(context: Context, instances: int, domains: int) -> None:
    """Give one instance the list of all."""
    context.entries = {
        f"i{number}": InstanceEntry(f"10.0.1.{number}:7", f"z{number % domains}")
        for number in range(instances)
    }
    context.limits = MemberLimits("i0", "z0")
    context.limits.set_groups({"g": MemberGroup("g", 16)})
    context.limits.set_instances(context.entries)


@then("an instance asks {asked:d} others, the pool hosts first, in {domains:d} domains")
def asks_others(context: Context, asked: int, domains: int) -> None:
    """Compare the chosen instances."""
    entry_by_address = {entry.address: entry for entry in context.entries.values()}
    chosen = context.limits.asked_addresses("g")
    assert len(set(chosen)) == len(chosen) == asked, chosen
    assert context.entries["i0"].address not in chosen
    found = {entry_by_address[address].failure_domain for address in chosen}
    assert len(found) == domains, found
    hosts = {
        address
        for domain in {entry.failure_domain for entry in context.entries.values()}
        for address in context.limits.host_addresses("g", domain)
    }
    assert set(chosen[: len(hosts)]) == hosts, (chosen, hosts)


@given("a primary that {state} at an instance")
def state_at(context: Context, state: str) -> None:
    """Set what the instance knows."""
    context.state = STATE_BY_TEXT[state]


@then("the instance sends it commands for others: {tried}")
def tries(context: Context, tried: str) -> None:
    """Compare the decision."""
    found = reachable_member(context.state, PRIMARY)
    assert (found is not None) == (tried == "yes"), found
