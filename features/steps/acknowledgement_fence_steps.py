"""Steps for the fence of acknowledgements at a promotion."""

from behave import given, then, when
from behave.runner import Context

from jackdawspread.decisions.acknowledgement.promotion_state_of import promotion_state
from jackdawspread.decisions.failover.promotion_lock_record import PromotionLockRecord


def names(text: str) -> list[str]:
    """Return the names in a list of a scenario."""
    return [] if text == "none" else text.split(",")


@given('a lock held until {until} by "{holder}" that is suspended "{suspended}"')
def given_suspended_lock(
    context: Context, until: str, holder: str, suspended: str
) -> None:
    context.record = PromotionLockRecord(
        token=4, holder=holder, until=float(until), ordered=""
    )
    if suspended == "yes":
        context.record["suspended"] = True


@given('its record has the request "{ordered}" and outstanding requests "{members}"')
def given_recorded_requests(context: Context, ordered: str, members: str) -> None:
    context.record["ordered"] = "" if ordered == "none" else ordered
    if members != "not known":
        context.record["outstanding"] = names(members)


@when("its promotion state is taken at {alive} or, if the holder has died, at {dead}")
def when_state_taken(context: Context, alive: str, dead: str) -> None:
    time = dead if context.record["holder"] == "dead" else alive
    context.state = promotion_state("g", context.record, 7, 1, float(time))


@then('it is suspended "{suspended}" and "{members}" are outstanding')
def then_state(context: Context, suspended: str, members: str) -> None:
    state = context.state
    assert (state.group, state.version, state.epoch, state.token) == ("g", 7, 1, 4)
    assert state.is_suspended is (suspended == "yes"), state
    assert state.outstanding == tuple(names(members)), state
