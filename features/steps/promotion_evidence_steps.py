"""Steps for the evidence on which promotions are decided."""

from behave import given, then, when
from behave.runner import Context
from features.fakes.replicated_group import STORE_START_S, ReplicatedGroup, address
from trio import run, sleep
from trio.testing import MockClock

from jackdawspread.decisions.failover.promotion_candidate import choose_candidate
from jackdawspread.decisions.failover.promotion_evidence import PromotionEvidence
from jackdawspread.messages.fleet.log_status import LogStatus
from jackdawspread.messages.fleet.promotion_result import PromotionResult
from jackdawspread.messages.position import Position

ATTEMPT_INTERVAL_S = 0.5


def _ends(text: str) -> dict[str, Position]:
    """Parse ``m1=3.7,m2=3.9``."""
    pairs = (pair.split("=") for pair in text.split(","))
    return {
        member: Position(*(int(number) for number in end.split(".")))
        for member, end in pairs
    }


def _ids(text: str) -> set[str]:
    return set() if text == "none" else set(text.split(","))


@given('the roster "{roster}", the logs "{logs}" and the demoted primary "{demoted}"')
def evidence(context: Context, roster: str, logs: str, demoted: str) -> None:
    """Choose a member on the evidence."""
    status_by_member = {
        member: LogStatus(member, False, end.term, end)
        for member, end in _ends(logs).items()
    }
    context.chosen = choose_candidate(
        PromotionEvidence(
            frozenset(address(id) for id in _ids(roster)),
            {id: address(id) for id in status_by_member},
            status_by_member,
            demoted_primary="" if demoted == "none" else demoted,
        )
    )


@given('members with the logs "{logs}" of which "{silent}" do not answer')
def group(context: Context, logs: str, silent: str) -> None:
    """Create a group that is listed completely."""
    ends = _ends(logs)
    silent_ids = _ids(silent)
    answering = {id: end for id, end in ends.items() if id not in silent_ids}
    context.group = ReplicatedGroup(answering, silent_ids)


@given('"{member}" has left the group and may have confirmed commits')
def departed(context: Context, member: str) -> None:
    """Name a departed member in the recorded roster."""
    ids = {*context.group.listed, member}
    context.group.record["roster"] = sorted(address(id) for id in ids)


@given("settings that limit the wait for missing logs to {seconds:g} s")
def limited_wait(context: Context, seconds: float) -> None:
    """Prefer a primary to the commits of members that are gone."""
    context.group.missing_log_timeout_s = seconds


@given('"{leaving}" is leaving and the promotion of "{ordered}" was requested earlier')
def preferences(context: Context, leaving: str, ordered: str) -> None:
    """Give reasons for and against members other than their logs."""
    context.group.leaving = _ids(leaving)
    context.group.record["ordered"] = "" if ordered == "none" else ordered


@given('the replica "{member}" joins and confirms commits during the attempt')
def joins(context: Context, member: str) -> None:
    """Let a replica join after the pauses."""
    context.group.joining = member


@given('only other instances reach "{member}"')
def cut_off(context: Context, member: str) -> None:
    """Partition a member from the instance that acts."""
    context.group.cut_off = {member}


@given('the primary confirms commits through "{member}", which joins after the list')
def joins_late(context: Context, member: str) -> None:
    """Let a replica join after the last list, before the promotion takes effect."""
    context.group.late_joiner = member


@given('a record with the request "{ordered}" and outstanding requests "{outstanding}"')
def requested(context: Context, ordered: str, outstanding: str) -> None:
    """Record promotion requests; a record of an earlier version names only the last."""
    context.group.record["ordered"] = ordered
    if outstanding != "not recorded":
        members = [] if outstanding == "none" else outstanding.split(",")
        context.group.record["outstanding"] = members


@given("its lock has expired {seconds:g} s ago")
def expired(context: Context, seconds: float) -> None:
    """Let the holder of the record have ended without releasing the lock."""
    context.group.record["until"] = STORE_START_S - seconds


@given('"{members}" are paused')
def paused(context: Context, members: str) -> None:
    """Let an earlier attempt leave replicas paused."""
    context.group.paused = dict.fromkeys(_ids(members), 1)


@given('"{members}" are paused and no list of members can be read')
def paused_before(context: Context, members: str) -> None:
    """Let an earlier attempt leave replicas paused, and let the next one fail."""
    context.group.paused = dict.fromkeys(_ids(members), 1)
    context.group.is_list_late = True


@given('promotion requests are answered with "{answers}"')
def promotion_answers(context: Context, answers: str) -> None:
    """Choose the results of the promotion requests."""
    context.group.answers = [PromotionResult(answer) for answer in answers.split(",")]


@given("the first {count:d} promotion requests get no answer")
def lost_answers(context: Context, count: int) -> None:
    """Lose answers until the time of the call is over."""
    context.group.answers = [PromotionResult.UNKNOWN] * count


@given("promotion requests are answered after {seconds:g} s")
def answered_after(context: Context, seconds: float) -> None:
    """Delay the answers of the platform."""
    context.group.answer_delay_s = seconds


@given("the promotion lock is held for {seconds:g} s")
def held_for(context: Context, seconds: float) -> None:
    """Let the promotion lock expire soon."""
    context.group.held_s = seconds


@given("accepted promotions take effect after {seconds:g} s")
def effect_after(context: Context, seconds: float) -> None:
    """Delay the effect of promotions."""
    context.group.effect_delay_s = seconds


@given('"{member}" is in an evacuated failure domain')
def evacuated(context: Context, member: str) -> None:
    """Evacuate the failure domain of one member."""
    context.group.evacuated = member


@given('the command to demote "{member}" gets no answer')
def no_answer(context: Context, member: str) -> None:
    """Lose the command."""
    context.group.undemotable = member


@given('the command to resume "{member}" gets no answer')
def no_resume_answer(context: Context, member: str) -> None:
    """Let the command be executed later."""
    context.group.unresumed = "" if member == "none" else member


@given("the newest term of the group is {term:d}, which no member reports")
def hidden_term(context: Context, term: int) -> None:
    """Raise the term above those in the logs."""
    context.group.newest_term = term


@given('"{member}" claims to be the primary too')
def second_primary(context: Context, member: str) -> None:
    """Let a second member claim to be the primary."""
    context.group.leaders.add(member)


@given('"{member}" is the only member that claims to be the primary')
def only_primary(context: Context, member: str) -> None:
    """Choose the members that claim to be the primary."""
    context.group.leaders = _ids(member)


@when("an instance acts on a primary that {trouble}")
def attempts(context: Context, trouble: str) -> None:
    """Run one attempt."""
    context.group.is_planned = trouble == "leaves"
    stalled = trouble == "gets no write confirmed"
    run(context.group.attempt, stalled, clock=MockClock(autojump_threshold=0))


@when("{count:d} instances act in turn for {seconds:g} s on an unreachable primary")
def attempts_in_turn(context: Context, count: int, seconds: float) -> None:
    """Run the attempts of several instances at regular times."""

    async def act() -> None:
        for number in range(int(seconds / ATTEMPT_INTERVAL_S) + 1):
            await context.group.attempt(False, number % count)
            await sleep(ATTEMPT_INTERVAL_S)

    run(act, clock=MockClock(autojump_threshold=0))


@when('the members "{gone}" are gone and another instance acts')
def attempts_without(context: Context, gone: str) -> None:
    """Run an attempt after members have left the list."""
    context.group.listed -= _ids(gone)
    run(context.group.attempt, False, clock=MockClock(autojump_threshold=0))


@when("instances act for {seconds:g} s on a primary that gets no write confirmed")
def attempts_stalled(context: Context, seconds: float) -> None:
    """Run attempts at regular times until a member is promoted."""

    async def act() -> None:
        for _ in range(int(seconds / ATTEMPT_INTERVAL_S) + 1):
            await context.group.attempt(True)
            if context.group.promoted:
                return
            await sleep(ATTEMPT_INTERVAL_S)

    run(act, clock=MockClock(autojump_threshold=0))


@when('an instance that can read no list acts, and "{crashed}" crashes')
def acts_before_crash(context: Context, crashed: str) -> None:
    """Run an attempt on a suspected primary that leaves replicas paused."""
    group = context.group
    group.is_list_late = True
    run(group.attempt, False, clock=MockClock(autojump_threshold=0))
    group.is_list_late = False
    group.end_by_member.pop(crashed)
    group.paused.pop(crashed, None)


@when('"{logs}" answers again')
def answers_again(context: Context, logs: str) -> None:
    """Let a member answer."""
    context.group.end_by_member.update(_ends(logs))


@when("instances act for {seconds:g} s on a primary that is unreachable")
def attempts_for(context: Context, seconds: float) -> None:
    """Run attempts at regular times."""
    attempts_every(context, ATTEMPT_INTERVAL_S, seconds)


@when(
    "instances act every {interval:g} s for {seconds:g} s on a primary that is "
    "unreachable"
)
def attempts_every(context: Context, interval: float, seconds: float) -> None:
    """Run attempts at regular times."""

    async def act() -> None:
        for _ in range(int(seconds / interval) + 1):
            await context.group.attempt(False)
            await sleep(interval)

    run(act, clock=MockClock(autojump_threshold=0))


@then('the member to promote on it is "{member}"')
def chosen(context: Context, member: str) -> None:
    """Compare the choice."""
    found = context.chosen.member if context.chosen is not None else "none"
    assert found == member, found


@then('"{promoted}" is promoted and "{demoted}" is demoted')
def promoted(context: Context, promoted: str, demoted: str) -> None:
    """Compare the commands and requests that the attempts have sent."""
    group = context.group
    assert set(group.promoted) == _ids(promoted), (group.promoted, group.outcomes)
    assert set(group.demoted) == _ids(demoted), group.demoted


@then('the promotion of "{member}" is requested {count:d} time and accepted')
def requested_times(context: Context, member: str, count: int) -> None:
    """Compare the requests and the outcome."""
    group = context.group
    assert group.promoted == [member] * count, group.promoted
    assert group.outcomes == [f"promotion accepted member={member}"], group.outcomes


@then("every acknowledged commit is at the promoted member")
def has_commits(context: Context) -> None:
    """Compare the log of the promoted member with what the primary has acknowledged."""
    group = context.group
    end = group.end_by_member[group.promoted[-1]]
    assert end >= group.acknowledged, (end, group.acknowledged)


@then('the last outcome is "{outcome}" and no replica is paused')
def outcome(context: Context, outcome: str) -> None:
    """Compare the outcome of the last attempt."""
    assert context.group.outcomes[-1] == outcome, context.group.outcomes
    assert not context.group.paused, context.group.paused


@then('"{promoted}" is promoted and the replicas "{paused}" rest paused')
def rest_paused(context: Context, promoted: str, paused: str) -> None:
    """Compare the replicas that don't receive after the attempt."""
    group = context.group
    assert set(group.promoted) == _ids(promoted), group.promoted
    assert set(group.paused) == _ids(paused), (group.paused, group.outcomes)


@then("a replica receives or another member is promoted")
def progress(context: Context) -> None:
    """Check that a write can be confirmed, now or after the promotion."""
    group = context.group
    receiving = group.end_by_member.keys() - group.leaders - group.paused.keys()
    assert group.promoted or receiving, (group.paused, group.outcomes[-1])


@then('the outstanding requests are "{left}" and the replicas "{paused}" rest paused')
def requests_left(context: Context, left: str, paused: str) -> None:
    """Compare the record after the attempt, and the replicas that don't receive."""
    group = context.group
    expected = [] if left == "none" else left.split(",")
    assert group.record["outstanding"] == expected, (group.record, group.outcomes)
    assert set(group.paused) == _ids(paused), (group.paused, group.outcomes)


@then("the lock is {state}")
def lock_state(context: Context, state: str) -> None:
    """Compare the holder after the attempt."""
    held = bool(context.group.record["holder"])
    assert held == (state == "held"), (context.group.record, context.group.outcomes)
