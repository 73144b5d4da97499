"""Steps for lists that may lack a member."""

from behave import given, then
from behave.runner import Context

from jackdawspread.decisions.members.list_completeness import (
    UNKNOWN_COMPLETENESS,
    add_list,
    is_whole,
)


@given('lists and calls to the store "{calls}"')
def given_lists(context: Context, calls: str) -> None:
    """Add lists at the times in the text; a failed call brings no list."""
    completeness = UNKNOWN_COMPLETENESS
    for call in calls.split():
        if call != "fail":
            completeness = add_list(completeness, float(call))
    context.completeness = completeness


@then("the last list names every member that lives: {whole}")
def then_whole(context: Context, whole: str) -> None:
    """Ask about the last list."""
    completeness = context.completeness
    assert is_whole(completeness) is (whole == "yes"), completeness
