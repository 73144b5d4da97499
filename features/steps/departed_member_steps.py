"""Steps for members that have left the list."""

from behave import given, then, when
from behave.runner import Context
from features.fakes.replicated_group import listing

from jackdawspread.decisions.members.departed_members import update_departed


def _listings(text: str) -> dict:
    return {id: listing(id) for id in text.split(",")}


@given("{member} has left the list and {state}")
def given_departed(context: Context, member: str, state: str) -> None:
    """Take a member from the list; it may go on serving."""
    group = context.group
    group.listed.discard(member)
    group.departed = (member,)
    if state == "does not answer":
        del group.end_by_member[member]
    if state == "claims to be the primary":
        group.leaders.add(member)


@then('"{members}" were paused in this order')
def then_paused(context: Context, members: str) -> None:
    """Compare the first pauses."""
    found = list(dict.fromkeys(context.group.pause_order))
    assert found == members.split(","), found


@then("no replica rests paused")
def then_resumed(context: Context) -> None:
    """Look for pauses that the attempt has left."""
    assert not context.group.paused, context.group.paused


@given('a list of "{members}" at 0 s')
def given_list(context: Context, members: str) -> None:
    """Remember the first list."""
    context.listing_by_id = _listings(members)
    context.departed_by_id = {}


@when('a list of "{members}" is read at {seconds:g} s')
def when_listed(context: Context, members: str, seconds: float) -> None:
    """Read the next list."""
    listed = _listings(members)
    context.departed_by_id = update_departed(
        context.departed_by_id, context.listing_by_id, listed, seconds
    )
    context.listing_by_id = listed


@then('the departed members are "{members}"')
def then_departed(context: Context, members: str) -> None:
    """Compare the ids."""
    expected = set() if members == "none" else set(members.split(","))
    assert context.departed_by_id.keys() == expected, context.departed_by_id
