"""Steps for the placement by failure domain."""

from behave import given, then, when
from behave.runner import Context
from features.fakes.domain_play import CROSSING_S, DomainPlay
from features.fakes.memory_records import MemoryRecords
from trio import open_memory_channel, open_nursery, run
from trio.testing import MockClock

from jackdawspread.decisions.members.connection_limits import connection_limits
from jackdawspread.decisions.placement.crossing_delays import (
    CrossingDelays,
    record_delay,
)
from jackdawspread.decisions.placement.departure_steps import (
    LEAVE_DOMAIN,
    NO_ROOM,
    next_departure,
)
from jackdawspread.decisions.placement.domain_host_limits import domain_host_limits
from jackdawspread.decisions.placement.domain_hosts import choose_domain_hosts
from jackdawspread.decisions.placement.domain_order import order_domains
from jackdawspread.decisions.placement.position_requests import (
    needs_position,
    relayed_sample,
)
from jackdawspread.decisions.placement.unused_capacities import unused_capacities
from jackdawspread.messages.fleet.admission_request import AdmissionRequest
from jackdawspread.messages.fleet.connection_request import ConnectionRequest
from jackdawspread.messages.fleet.departure import Departure
from jackdawspread.messages.fleet.instance_capacity import InstanceCapacity
from jackdawspread.messages.fleet.instance_entry import InstanceEntry
from jackdawspread.messages.fleet.member_group import MemberGroup
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.messages.fleet.member_requirement import MemberRequirement
from jackdawspread.messages.fleet.members_seen import MembersSeen
from jackdawspread.messages.fleet.placement_changed import PlacementChanged
from jackdawspread.messages.fleet.primary_position_reply import PrimaryPositionReply
from jackdawspread.messages.fleet.token_replied import TokenReplied
from jackdawspread.messages.fleet.token_reply import TokenReply
from jackdawspread.messages.pool_hosts.primary_moved import PrimaryMoved
from jackdawspread.messages.position import Position
from jackdawspread.tasks.fleet.capacity_exchange import PREFIX, CapacityExchange
from jackdawspread.tasks.fleet.token_requests import TokenRequests
from jackdawspread.tasks.members.group_monitor import GroupMonitor
from jackdawspread.tasks.members.member_limits import MemberLimits
from jackdawspread.tasks.members.position_exchange import PositionExchange

DOMAINS = ("a", "b", "c")
GROUPS = ("ledger", "books", "limits", "stock")
LIMIT_S = 0.003
LARGE = InstanceCapacity(2.0, 512.0, 100.0)
SMALL = InstanceCapacity(0.5, 200.0, 25.0)


@given(
    "{instances:d} instances in 3 failure domains, of which {large:d} in each have "
    "4 times the capacity"
)
def instances_of_two_sizes(context: Context, instances: int, large: int) -> None:
    """Make the list and the capacities."""
    context.entries = {
        f"i{n}": InstanceEntry(f"10.0.0.{n}:7", DOMAINS[n % 3])
        for n in range(instances)
    }
    context.capacities = {
        id: LARGE if n < 3 * large else SMALL for n, id in enumerate(context.entries)
    }


@then("every group has 2 hosts in each failure domain, all on the large machines")
def large_hosts(context: Context) -> None:
    """Check domains and sizes."""
    for group in GROUPS:
        hosts = choose_domain_hosts(group, context.entries, context.capacities)
        _check_domains(context, hosts)
        assert all(context.capacities[host] is LARGE for host in hosts), hosts


@then("without known capacities it still has 2 hosts in each")
def hosts_without_capacities(context: Context) -> None:
    """Check domains."""
    for group in GROUPS:
        _check_domains(context, choose_domain_hosts(group, context.entries, {}))


def _check_domains(context: Context, hosts: tuple[str, ...]) -> None:
    domains = sorted(context.entries[host].failure_domain for host in hosts)
    assert domains == ["a", "a", "b", "b", "c", "c"], hosts


@then("two lists of the same instances in another order give the same hosts")
def same_hosts(context: Context) -> None:
    """Compare with the reverse list."""
    reverse = dict(reversed(context.entries.items()))
    for capacities in (context.capacities, {}):
        assert choose_domain_hosts(
            "g", context.entries, capacities
        ) == choose_domain_hosts("g", reverse, capacities)


@given("members that accept {limits} connections, and 2 hosts in 3 domains")
def member_limits(context: Context, limits: str) -> None:
    """Note the limits."""
    context.limits = [int(number) for number in limits.split(",")]


@then("the hosts together keep at most 0.6 of them idle, most in the member's domain")
def within_limit(context: Context) -> None:
    """Add up the idle connections of all hosts."""
    for most in context.limits:
        near = domain_host_limits(most, 2, 4, is_near=True)
        far = domain_host_limits(most, 2, 4, is_near=False)
        assert 2 * near.idle + 4 * far.idle <= 0.6 * most
        assert near.idle > 2 * far.idle and near.idle <= near.open <= most


@given(
    "a delay of {within:f} ms within the failure domain and {across:f} ms to another "
    "one"
)
def delays(context: Context, within: float, across: float) -> None:
    """Record one measurement of each."""
    context.delays = CrossingDelays()
    for domain, ms in (("a", within), ("b", across)):
        context.delays = record_delay(context.delays, domain, ms / 1000, "a", LIMIT_S)


@then("crossings are expensive: {first}, and afterwards at {later:f} ms: {still}")
def expensive(context: Context, first: str, later: float, still: str) -> None:
    """Compare before and after further measurements."""
    assert str(context.delays.is_expensive) == first
    for _ in range(3):
        context.delays = record_delay(context.delays, "b", later / 1000, "a", LIMIT_S)
    assert str(context.delays.is_expensive) == still


@given("a caller in domain a, a primary in domain b, and domain c farther away")
def three_domains(context: Context) -> None:
    """Note the delays."""
    context.delay_s = {"b": 0.005, "c": 0.02}


def _order(context: Context, requirement: MemberRequirement, departure) -> str:
    request = ConnectionRequest(
        "g", "w", requirement, "", 1.0, None, frozenset(), 1, 1.0, True, None
    )._replace(departure=departure)
    domains = order_domains(request, "a", "b", DOMAINS, context.delay_s, LIMIT_S)
    return ",".join(domains)


@then('work for the primary uses the hosts of "{domains}"')
def primary_order(context: Context, domains: str) -> None:
    """Compare the order."""
    found = _order(context, MemberRequirement.PRIMARY, Departure.STAY)
    assert found == domains, found


@then('a read uses the hosts of "{domains}"')
def read_order(context: Context, domains: str) -> None:
    """Compare the order."""
    assert _order(context, MemberRequirement.FRESH, Departure.ASK) == domains


@then('a read that was sent elsewhere uses the hosts of "{domains}"')
def departed_order(context: Context, domains: str) -> None:
    """Compare the order."""
    assert _order(context, MemberRequirement.FRESH, Departure.LEAVE) == domains


@then('the steps of such a read are "{steps}" and then it waits')
def steps_of_read(context: Context, steps: str) -> None:
    """Let each host send the read on."""
    departure, taken = Departure.ASK, []
    for code in (LEAVE_DOMAIN, NO_ROOM, LEAVE_DOMAIN):
        taken.append(departure.value)
        following = next_departure(departure, code)
        if following is None:
            break
        departure = following
    assert ",".join(taken) == steps, taken
    assert next_departure(Departure.ASK, "busy") is None


@given("3 failure domains whose members each run 214 reads/s")
def play(context: Context) -> None:
    """Start a play."""
    context.play = DomainPlay(DOMAINS)


@when(
    "domain {domain} gets {per_s:d} reads/s and the others {others:d} for {seconds:d} s"
)
def demand(
    context: Context, domain: str, per_s: int, others: int, seconds: int
) -> None:
    """Play; remember what had left each domain 1 s after the change."""
    rates = dict.fromkeys(DOMAINS, float(others)) | {domain: float(per_s)}
    context.domain = domain
    context.play.run(1, rates)
    context.left_before = dict(context.play.left_by_domain)
    context.play.run(seconds - 1, rates)


@when("the member of domain b is lost, and domain a gets {per_s:d} reads/s for 5 s")
def lose(context: Context, per_s: int) -> None:
    """Lose the member; its callers still send reads."""
    context.play.lost.add("b")
    context.served_b = len(context.play.latencies_s_by_domain["b"])
    context.play.run(5, {"a": float(per_s), "b": 60.0, "c": 60.0})


@then("no read of domain {domain} has left it")
def none_left(context: Context, domain: str) -> None:
    """Count."""
    assert context.play.left_by_domain[domain] == 0, context.play.left_by_domain


def _left_share(context: Context, domain: str) -> float:
    sent = len(context.play.latencies_s_by_domain[domain])
    return context.play.left_by_domain[domain] / sent


@then("between {low:d}% and {high:d}% of the reads of domain {domain} have left it")
def share_left(context: Context, low: int, high: int, domain: str) -> None:
    """Compare the share."""
    share = _left_share(context, domain)
    assert low <= 100 * share <= high, share


@then("at most {high:d}% of the reads of domain {domain} have left it")
def few_left(context: Context, high: int, domain: str) -> None:
    """Compare the share."""
    share = _left_share(context, domain)
    assert 100 * share <= high, share


@then("its reads take at most {ms:d} ms at the 90th percentile")
def latency(context: Context, ms: int) -> None:
    """Compare the latency that its callers see."""
    latencies_s = sorted(context.play.latencies_s_by_domain[context.domain])
    p90_s = latencies_s[int(0.9 * len(latencies_s))]
    assert 1000 * p90_s <= ms, p90_s


@then("no domain had more than {most:d} reads of others at a time")
def bounded(context: Context, most: int) -> None:
    """Compare the largest number of reads of other domains."""
    found = context.play.most_foreign_by_domain
    assert max(found.values()) <= most, found


@then("domain b has sent reads away, and domain a no more in the last 4 s")
def moved(context: Context) -> None:
    """Compare with the counts 1 s after the change."""
    left = context.play.left_by_domain
    assert left["b"] > context.left_before["b"], left
    assert left["a"] == context.left_before["a"], (left, context.left_before)


@then("domain c has served the reads of domain b")
def served_elsewhere(context: Context) -> None:
    """All reads of the lost domain were answered."""
    latencies_s = context.play.latencies_s_by_domain["b"][context.served_b :]
    assert len(latencies_s) >= 290, len(latencies_s)
    assert min(latencies_s) > 4 * CROSSING_S


@then("no domain had more than {most:d} reads of others beyond those of domain b")
def bounded_after_loss(context: Context, most: int) -> None:
    """The reads of a domain without members are served where they are sent."""
    found = context.play.most_foreign_by_domain
    assert max(found.values()) <= 2 * most, found


@given("an instance that measured holders at {first:f}, {second:f} and {third:f} ms")
def measured_holders(
    context: Context, first: float, second: float, third: float
) -> None:
    """Let each holder reply once."""
    peers, context.sent = open_memory_channel(100)
    context.requests, context.now = TokenRequests(peers, 1, LIMIT_S), 0.0
    context.delay_by_holder = {
        f"10.0.0.{n}:7": ms for n, ms in enumerate((first, second, third))
    }
    context.requests.holders = tuple(context.delay_by_holder)
    for _ in context.delay_by_holder:
        _start(context)
        asked = context.sent.receive_nowait()
        _reply(context, asked, granted=True)


def _start(context: Context) -> None:
    reply_to, _ = open_memory_channel(1)
    request = AdmissionRequest("d", "k", True, reply_to)
    assert context.requests.start(request, "w", 1.0, context.now)


def _reply(context: Context, asked, granted: bool) -> None:
    """Reply after the round trip to the holder."""
    context.now += 2 * context.delay_by_holder[asked.peer] / 1000
    reply = TokenReply(asked.message.id, granted, 500)
    context.requests.handle_reply(TokenReplied(reply, asked.peer), context.now)


@then("it asks the near one first, and the others after a refusal")
def near_first(context: Context) -> None:
    """Refuse each time until all were asked."""
    for _ in range(3):
        _start(context)
        peers = []
        for _ in range(3):
            asked = context.sent.receive_nowait()
            peers.append(asked.peer)
            _reply(context, asked, granted=False)
        assert peers[0] == "10.0.0.0:7" and len(set(peers)) == 3, peers


@then("it asks another one first each time")
def in_turn(context: Context) -> None:
    """Start as many operations as there are holders."""
    for _ in range(3):
        _start(context)
    asked = {context.sent.receive_nowait().peer for _ in range(3)}
    assert len(asked) == 3, asked


@given('stored capacities, one of them "{odd}" and one of them "{other}"')
def stored_capacities(context: Context, odd: str, other: str) -> None:
    """Write records as other instances would."""
    context.records = MemoryRecords()

    async def write() -> None:
        for name, value in (("i1", "[2,512,100]"), ("i2", odd), ("i3", other)):
            await context.records.put(f"{PREFIX}{name}", value.encode())

    run(write)


@then("a restarted instance uses the others, and writes its own after it has read")
def uses_others(context: Context) -> None:
    """Run the exchange until it has read twice."""

    async def exchange() -> None:
        send, inbox = open_memory_channel(2)
        router, seen = open_memory_channel(2)
        broker, _seen = open_memory_channel(2)
        records = context.records
        task = CapacityExchange("i9", SMALL, False, records, inbox, router, broker)
        send.send_nowait(PlacementChanged(True, CROSSING_S))
        async with open_nursery() as nursery:
            nursery.start_soon(task.run)
            context.seen = [await seen.receive(), await seen.receive()]
            nursery.cancel_scope.cancel()

    run(exchange, clock=MockClock(autojump_threshold=0))
    first, second = (event.capacity_by_instance for event in context.seen)
    assert set(first) == {"i1"} and second == {**first, "i9": SMALL}, context.seen


@then(
    "only the instance with the smallest id removes it, at the second read without it"
)
def removal(context: Context) -> None:
    """Read twice at two instances."""
    stored, listed = ("i1", "i2", "i3"), ("i1", "i2")
    removed, unlisted = unused_capacities(stored, listed, (), "i1")
    assert not removed and unlisted == {"i3"}
    assert unused_capacities(stored, listed, unlisted, "i1")[0] == {"i3"}
    assert not unused_capacities(stored, listed, unlisted, "i2")[0]
    assert not unused_capacities(stored, (), unlisted, "i1")[0]


@given("a position that a pool host near the primary saw {ms:d} ms before it replied")
def seen_position(context: Context, ms: int) -> None:
    """Note the age."""
    context.age_s = ms / 1000


@when("the request and its reply took {ms:d} ms")
def took(context: Context, ms: int) -> None:
    """Make the sample of a request that was sent at 100 s."""
    context.replied_at = 100 + ms / 1000
    context.sample = relayed_sample(Position(3, 7), context.age_s, 100.0)


@then("the position counts as {ms:d} ms old when the reply arrives")
def age(context: Context, ms: int) -> None:
    """Compare the age."""
    assert round(1000 * (context.replied_at - context.sample.at)) == ms


@then("it is asked for again once it is {age:d} ms old, and at most every {ms:d} ms")
def asked_again(context: Context, age: int, ms: int) -> None:
    """Ask around the two limits."""
    at = context.sample.at
    samples = (context.sample,)
    assert not needs_position(samples, 0.0, at + age / 1000 - 0.01)
    assert needs_position(samples, 0.0, at + age / 1000 + 0.01)
    now = at + 1
    assert not needs_position(samples, now - ms / 1000 + 0.01, now)
    assert needs_position((), now - ms / 1000 - 0.01, now)


@then("a reply to a request that was not sent is ignored")
def not_sent(context: Context) -> None:
    """Reply twice to one request, and once to none."""
    peers, sent = open_memory_channel(2)
    exchange = PositionExchange(peers)
    exchange.ask_if_needed("g", (), ("10.0.0.1:7",))
    reply = PrimaryPositionReply(
        sent.receive_nowait().message.id, Position(3, 7), context.age_s
    )
    assert exchange.take_reply(reply) is not None
    assert exchange.take_reply(reply) is None
    assert exchange.take_reply(reply._replace(id=1)) is None


@given("a fleet of {instances:d} instances whose failure domains are far apart")
def small_fleet(context: Context, instances: int) -> None:
    """Give the list and the placement to one instance."""
    instances_of_two_sizes(context, instances, 0)
    context.member_limits = MemberLimits("i0", "a")
    context.member_limits.set_groups({"ledger": MemberGroup("ledger", 16)})
    context.member_limits.set_instances(context.entries)
    context.member_limits.set_placement(is_domain_aware=True)


@then("it has no pool hosts, and reads may use the members of all failure domains")
def no_domain_hosts(context: Context) -> None:
    """Compare the limits with those of an instance that shares no connections."""
    listing = MemberListing("m", "ledger", "10.0.1.1:7", "b", 6, False, True)
    limits = context.member_limits.limits(listing)
    assert limits == connection_limits(16, len(context.entries)), limits
    assert not context.member_limits.has_domain_hosts("ledger")


def _members_seen(primary: str) -> MembersSeen:
    listings = {
        domain: MemberListing(
            domain, "g", "10.0.1.1:7", domain, 6, False, domain == primary
        )
        for domain in DOMAINS
    }
    return MembersSeen(listings, 0.0)


@given("a broker whose inbox is full when the primary moves from domain a to b")
def full_broker(context: Context) -> None:
    """Leave the first report in an inbox for one."""
    context.broker, context.broker_inbox = open_memory_channel(1)
    channels = [open_memory_channel(10) for _ in range(2)]
    context.inboxes = [inbox for _, inbox in channels]
    failover, refresh = (send for send, _ in channels)
    context.monitor = GroupMonitor(failover, refresh, context.broker)
    context.monitor.update_members(_members_seen("a"), 0.0)
    context.monitor.update_members(_members_seen("b"), 1.0)


@when("its inbox has room and the next list of members arrives")
def next_list(context: Context) -> None:
    """Take the first report."""
    assert context.broker_inbox.receive_nowait() == PrimaryMoved("g", "a")
    context.monitor.update_members(_members_seen("b"), 2.0)


@then("the broker learns that the primary is in domain b")
def learns(context: Context) -> None:
    """Take the second report; nothing more is reported."""
    assert context.broker_inbox.receive_nowait() == PrimaryMoved("g", "b")
    context.monitor.update_members(_members_seen("b"), 3.0)
    assert not context.broker_inbox.statistics().current_buffer_used
