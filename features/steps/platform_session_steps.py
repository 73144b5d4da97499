"""Steps for sessions at an instance with stand-ins of the users' platform."""

from time import clock_gettime, monotonic
from unittest import mock
from urllib.parse import parse_qs, urlsplit

from behave import given, then, when
from behave.runner import Context
from features.wire.platform_world import PlatformWorld
from features.wire.wire_caller import WireCaller
from trio import open_nursery, sleep

from jackdawspread.platform.composition import BALANCER_NOTICE_S
from jackdawspread.tasks import boot_clock

SIGNATURE = "7.1f3.c"
TIMEOUT_S = 20.0
# The wait of a call to the store that does not wait for a change, in milliseconds.
AT_ONCE_MS = 50


def _wait(context: Context, condition) -> None:
    """Wait until a condition holds; fail after a timeout instead of hanging."""

    for _ in range(int(TIMEOUT_S / 0.02)):
        if condition():
            return
        context.platform.call(sleep, 0.02)
    raise AssertionError("the condition did not hold before the timeout")


def _query_until(context: Context, text: str, word: str) -> list[str]:
    """Retry a statement in new sessions until an answer has a line with the word."""
    answer: list[str] = []

    def is_answered() -> bool:
        return any(line.startswith(word) for line in answer)

    deadline = monotonic() + TIMEOUT_S
    while not is_answered() and monotonic() < deadline:
        answer = context.platform.query(context.platform.open(), text)
    assert is_answered(), answer
    return answer


@given("an instance with stand-ins for the store and the members")
def instance(context: Context) -> None:
    """Start the stand-ins and an instance."""
    context.platform = PlatformWorld()
    context.platform.start()
    context.add_cleanup(context.platform.close)
    context.platform.group.runs.clear()
    context.ids = []


@when('a caller of "{database}" sends "{text}"')
def caller_sends(context: Context, database: str, text: str) -> None:
    """Open a session and send its first statement."""
    context.caller = context.platform.open(database)
    assert context.caller.opened == "READY I -", context.caller.opened
    it_sends(context, text)


@given('a caller of "{database}" whose read ran at a replica')
def read_at_replica(context: Context, database: str) -> None:
    """Read once, while a transaction uses the primary's idle connection."""
    holder = context.platform.open()
    for text in ("BEGIN", "READ other"):
        context.platform.query(holder, text)
    caller_sends(context, database, "READ bean")
    assert context.platform.group.runs[-1].member != context.platform.group.primary
    context.platform.group.runs.clear()


@when("the machine was suspended for {seconds:d} s")
def was_suspended(context: Context, seconds: int) -> None:
    """Advance only the boot-time clock, which counts suspension."""

    def later(clock: int) -> float:
        return clock_gettime(clock) + seconds

    patch = mock.patch.object(boot_clock, "clock_gettime", later)
    patch.start()
    context.add_cleanup(patch.stop)


@when('it sends "{text}"')
def it_sends(context: Context, text: str) -> None:
    """Send a further statement."""
    context.answer = context.platform.query(context.caller, text)
    context.ids.append(context.caller.last_id)


@when('a caller of "{database}" sends "{text}" and its answer is lost')
def answer_lost(context: Context, database: str, text: str) -> None:
    """Let the member commit, then close the connection without an answer."""
    context.platform.group.lose_answers = 1
    caller_sends(context, database, text)


@when('a caller of "{database}" sends "{first}" and "{second}" in one write')
def pipelined(context: Context, database: str, first: str, second: str) -> None:
    """Send two statements without waiting."""
    caller = context.platform.open(database)
    data = f"QUERY p1 {first}\r\nQUERY p2 {second}\r\n".encode()
    context.platform.call(caller.send_raw, data)
    context.answer = context.platform.call(caller.read_answer)
    context.second = context.platform.call(caller.read_answer)


@when('a caller of "{database}" sends the bytes "{text}"')
def raw_bytes(context: Context, database: str, text: str) -> None:
    """Send bytes that are not a valid line."""
    context.caller = context.platform.open(database)
    data = text.replace("<LF>", "\n").replace("<CR>", "\r").encode()
    context.platform.call(context.caller.send_raw, data)


@when('a caller opens "{database}" with the key "{key}"')
def opens(context: Context, database: str, key: str) -> None:
    """Open a session."""
    context.caller = context.platform.open(database, key)


@when('two callers of "{database}" set different values and prepare the same name')
def two_callers(context: Context, database: str) -> None:
    """Let two sessions run statements in turn over shared connections."""
    callers = [context.platform.open(database) for _ in range(2)]
    for number, caller in enumerate(callers):
        for text in (f"SET zone v{number}", f"PREPARE s1 WRITE shape{number}"):
            answer = context.platform.query(caller, text)
            assert answer == ["DONE -", "READY I -"], answer
    context.expected = []
    for turn in range(4):
        for number, caller in enumerate(callers):
            answer = context.platform.query(caller, f"EXEC s1 i{turn} {number}")
            assert answer[0] == f"DONE {SIGNATURE}", answer
            context.expected.append((caller.last_id, f"v{number}"))


@given('a caller of "{database}" whose value is set on its connection')
def value_set(context: Context, database: str) -> None:
    """Set a value and write until idle connections are kept and used again."""
    caller_sends(context, database, "SET zone old")
    runs = context.platform.group.runs

    def is_used_again() -> bool:
        it_sends(context, "WRITE a 1")
        return len(runs) > 1 and runs[-1].connection == runs[-2].connection

    _wait(context, is_used_again)


@when("it sets another value, and the member refuses it as busy once")
def value_refused(context: Context) -> None:
    """The write that brings the value to the member is retried."""
    context.platform.group.refused_values = 1
    it_sends(context, "SET zone new")
    it_sends(context, "WRITE a 2")


@then(
    "{number:d} transactions at once, which use all connections, run with the new value"
)
def run_with_value(context: Context, number: int) -> None:
    """No connection has kept the value before."""
    assert context.answer[0].startswith("DONE"), context.answer
    callers = [context.platform.open() for _ in range(number)]
    for item, caller in enumerate(callers):
        for text in ("SET zone new", "BEGIN", f"WRITE n{item} 1"):
            answer = context.platform.query(caller, text)
            assert answer[0].startswith("DONE"), answer
    runs = [run for run in context.platform.group.runs if run.text != "WRITE a 1"]
    assert len(runs) == 1 + number, runs
    assert all(run.values == {"zone": "new"} for run in runs), runs


@when("the members answer BUSY to a caller's write for a short time")
def busy_members(context: Context) -> None:
    """Let the members refuse a write at first and run it later."""
    group = context.platform.group
    group.refuse_with = "BUSY full"

    async def write(caller: WireCaller) -> list[str]:
        async with open_nursery() as nursery:
            nursery.start_soon(_recover, group)
            return await caller.query("WRITE a 1")

    context.caller = context.platform.open()
    context.answer = context.platform.call(write, context.caller)


async def _recover(group) -> None:
    await sleep(0.05)
    group.refuse_with = ""


@when("a caller's key is withdrawn")
def withdrawn(context: Context) -> None:
    """Publish a configuration without the key."""
    context.caller = context.platform.open()
    context.platform.configuration["Tenants"][0]["ApiKeys"] = []
    context.platform.publish()


@when("a caller has a transaction open and its route is removed")
def route_removed(context: Context) -> None:
    """Publish a configuration without the route, and wait until it takes effect."""
    platform = context.platform
    context.caller = platform.open("bounded-db")
    for text in ("BEGIN", "WRITE a 1"):
        assert platform.query(context.caller, text)[0].startswith("DONE")
    routes = platform.configuration["Routes"]
    platform.configuration["Routes"] = [r for r in routes if r["Host"] != "bounded-db"]
    platform.publish()
    _wait(context, lambda: platform.open("bounded-db").opened.startswith("ERR NODB"))


@then("its next statement is refused with NODB")
def refused_nodb(context: Context) -> None:
    """The change applies to the next operation."""
    answer = context.platform.query(context.caller, "READ a")
    assert answer[0].startswith("ERR NODB"), answer


@when("a caller of the small workspace sends {number:d} writes at once")
def above_rate(context: Context, number: int) -> None:
    """Send more writes than the workspace's rate limit allows."""
    caller = context.platform.open(key="key-of-w2")
    context.refused, context.done = [], []
    for item in range(number):
        answer = context.platform.query(caller, f"WRITE i{item} 1")
        refused = answer[0].startswith("ERR BUSY")
        (context.refused if refused else context.done).append(caller.last_id)


@when("the primary is killed")
def primary_killed(context: Context) -> None:
    """Kill the primary; only the instance requests promotions."""
    platform = context.platform
    context.former = platform.group.primary

    async def kill() -> None:
        platform.member_by_id[context.former].kill()

    platform.call(kill)


@when("the primary announces its shutdown")
def primary_leaves(context: Context) -> None:
    """Mark the primary as leaving in the list of members."""
    context.former = context.platform.group.primary
    context.platform.group.leaving.add(context.former)

    async def register() -> None:
        context.platform.group.register()

    context.platform.call(register)


@when("the members stop answering")
def silent(context: Context) -> None:
    """Keep the connections open without answering."""
    context.platform.group.is_silent = True


@when("the store is unavailable")
def store_away(context: Context) -> None:
    """Let the store refuse every call."""
    context.platform.store.is_down = True


@when("the store is unavailable for a moment")
def store_away_shortly(context: Context) -> None:
    """Let the store refuse calls until the feed has retried several times."""
    store = context.platform.store
    store.is_down = True
    context.platform.publish()
    _wait(context, lambda: store.refused_calls > 5)
    store.calls.clear()
    store.is_down = False


@when("the store loses the answers of {number:d} writes")
def store_loses(context: Context, number: int) -> None:
    """Let the store execute writes without answering them."""
    context.before = context.platform.store.rows["jackdawspread", "rate-leases"][1]
    context.platform.store.lose_answers = number


@when("a caller has a transaction open and the instance begins to stop")
def stop_in_transaction(context: Context) -> None:
    """Begin a graceful shutdown with one open transaction and one idle session."""
    context.idle = context.platform.open()
    context.caller = context.platform.open()
    for text in ("BEGIN", "WRITE a 1"):
        assert context.platform.query(context.caller, text)[0].startswith("DONE")
    context.platform.stop()


@then('the answer is "{lines}"')
def answer_is(context: Context, lines: str) -> None:
    """Compare the whole answer."""
    assert context.answer == lines.split(" / "), context.answer


@then('the answer begins with "{start}"')
def answer_begins(context: Context, start: str) -> None:
    """Compare the first line."""
    assert context.answer[0].startswith(start), context.answer


@then("the members ran the statements under the callers' request ids")
def own_ids(context: Context) -> None:
    """Only the callers' statements ran."""
    assert [run.id for run in context.platform.group.runs] == context.ids


@then("the read ran inside a transaction at the primary")
def read_inside(context: Context) -> None:
    """The primary has begun a transaction for the read."""
    run = context.platform.group.runs[-1]
    assert run.in_transaction and run.member == context.platform.group.primary, run


@then("the session is refused with {code}")
def session_refused(context: Context, code: str) -> None:
    """The handshake is answered with an error, and the session ends."""
    assert context.caller.opened.startswith(f"ERR {code}"), context.caller.opened
    assert context.platform.call(context.caller.read_line) == ""


@then("another caller can read")
def another_reads(context: Context) -> None:
    """A new session is served."""
    answer = context.platform.query(context.platform.open(), "READ bean")
    assert answer == ["ROW none", f"DONE {SIGNATURE}", "READY I -"], answer


@then("its session is closed")
def session_closed(context: Context) -> None:
    """The session ends without an answer, and no statement has run."""
    assert context.platform.call(context.caller.read_line) == ""
    assert not context.platform.group.runs


@then("it gets both answers in order")
def both_answers(context: Context) -> None:
    """The first answer has no row, the second the written one."""
    assert context.answer == [f"DONE {SIGNATURE}", "READY I -"], context.answer
    assert context.second == ["ROW 1", f"DONE {SIGNATURE}", "READY I -"], context.second


@then("all runs of the caller were on one connection")
def one_connection(context: Context) -> None:
    """The statements shared the transaction's connection."""
    runs = [run for run in context.platform.group.runs if run.id in context.ids]
    assert len(runs) == 2, runs
    assert len({run.connection for run in runs}) == 1, runs
    assert all(run.in_transaction for run in runs), runs


@then('the item "{item}" does not exist')
def item_missing(context: Context, item: str) -> None:
    """The rolled back write is not visible."""
    answer = context.platform.query(context.platform.open(), f"READ {item}")
    assert answer[0] == "ROW none", answer


@then("each statement ran with the values and the template of its session")
def own_values(context: Context) -> None:
    """Neither session values nor templates leaked to the other session."""
    runs = {run.id: run for run in context.platform.group.runs}
    templates = set()
    for id, value in context.expected:
        assert runs[id].values == {"zone": value}, runs[id]
        templates.add((value, runs[id].text.split(" ")[1]))
    assert len(templates) == 2, templates


@then("the write ran once")
def ran_once(context: Context) -> None:
    """The members ran the write once, and the log has one commit."""
    writes = [run for run in context.platform.group.runs if "WRITE" in run.text]
    assert len(writes) == 1 and context.platform.group.sequence == 1, writes


@then("its next statements are refused with NOAUTH")
def refused_noauth(context: Context) -> None:
    """The connected session is refused after the withdrawal."""

    def is_refused() -> bool:
        return context.answers[-1][0].startswith("ERR NOAUTH")

    context.answers = [["DONE"]]
    deadline = monotonic() + TIMEOUT_S
    while not is_refused() and monotonic() < deadline:
        context.answers.append(context.platform.query(context.caller, "READ a"))
    assert is_refused(), context.answers[-1]


@then("those that were refused with BUSY did not run")
def refused_not_run(context: Context) -> None:
    """The refused writes were not run by any member."""
    ran = {run.id for run in context.platform.group.runs}
    assert context.refused and not ran & set(context.refused)


@then("at most {number:d} ran")
def at_most(context: Context, number: int) -> None:
    """No more ran than the burst plus the rate over the duration."""
    assert len(context.done) <= number, len(context.done)


@then("a write succeeds at another member")
def other_member(context: Context) -> None:
    """Another member is the primary and accepts writes."""
    _query_until(context, "WRITE after 1", "DONE")
    _wait(context, lambda: context.platform.group.primary != context.former)


@then("each promotion had another fencing token")
def own_tokens(context: Context) -> None:
    """No fencing token was used for two attempts."""
    tokens = context.platform.store.tokens
    assert tokens and tokens == sorted(set(tokens)), tokens


@then("another member is the primary before the old one has stopped")
def other_leads(context: Context) -> None:
    """The switchover does not wait until the old primary has stopped."""
    _wait(context, lambda: context.platform.group.primary != context.former)
    assert context.former not in context.platform.group.dead


@then("a read is refused within its time limit")
def read_refused(context: Context) -> None:
    """The statement ends although its member does not answer."""
    answer = context.platform.query(context.platform.open(), "READ bean")
    assert answer[0].startswith("ERR "), answer


@then("a read succeeds after they answer again")
def read_succeeds(context: Context) -> None:
    """New connections replace the unanswered ones."""
    context.platform.group.is_silent = False
    _query_until(context, "READ bean", "ROW")


@then("the first request for the configuration after its return is answered at once")
def first_answered_at_once(context: Context) -> None:
    """Check the first call for the table of the configuration.

    It is a complete read, or a question for changes that does not wait for one.
    """

    def own_calls() -> list[str]:
        return [call for call in context.platform.store.calls if "Table=op" in call]

    _wait(context, own_calls)
    parts = urlsplit(own_calls()[0])
    wait_ms = int(parse_qs(parts.query).get("WaitMs", ["0"])[0])
    assert parts.path == "/rows-get" or wait_ms <= AT_ONCE_MS, own_calls()


@then("the rate leases are renewed again")
def renewed(context: Context) -> None:
    """The record of the leases gets new versions after the lost answers."""
    rows = context.platform.store.rows

    def is_renewed() -> bool:
        version = rows["jackdawspread", "rate-leases"][1]
        return not context.platform.store.lose_answers and version > context.before + 2

    _wait(context, is_renewed)


@then("an idle session of another caller is told that it is closing")
def idle_told(context: Context) -> None:
    """The caller gets a closing notice."""
    notice = context.platform.call(context.idle.read_line)
    assert notice.startswith("ERR BUSY"), notice


@then("the idle session ends without a further line")
def idle_ends(context: Context) -> None:
    """The notice is not a complete answer."""
    assert context.platform.call(context.idle.read_line) == ""


@then("the transaction can commit")
def can_commit(context: Context) -> None:
    """An open transaction can finish within its fraction of the grace time."""
    answer = context.platform.query(context.caller, "COMMIT")
    assert answer == [f"DONE {SIGNATURE}", "READY I -"], answer


@then("the instance has stopped")
def has_stopped(context: Context) -> None:
    """The instance ends after the last transaction."""
    _wait(context, lambda: context.platform.is_stopped)


@when("the instance begins to stop while a caller sends a write every 50 ms")
def write_while_stopping(context: Context) -> None:
    """Write from before idle sessions are closed until shortly after it."""
    caller = context.platform.open("primary-db")
    context.platform.stop()
    context.platform.call(sleep, BALANCER_NOTICE_S - 0.2)
    context.answers = []
    for number in range(12):
        context.answers.append(context.platform.query(caller, f"WRITE a {number}"))
        context.platform.call(sleep, 0.05)


@then("every write until its sessions are aborted is answered")
def all_answered(context: Context) -> None:
    """No session ended between two writes."""
    unanswered = [answer for answer in context.answers if answer == [""]]
    assert not unanswered, context.answers
