"""Steps for lists that may lack a member."""

import re

from behave import given, then
from behave.runner import Context

from jackdawspread.decisions.members.list_completeness import (
    UNKNOWN_COMPLETENESS,
    add_list,
    is_whole,
)

READ_AT_S = 10.0


@given("calls to the store that {calls}")
def given_calls(context: Context, calls: str) -> None:
    """Read lists at the times in the text."""
    completeness = UNKNOWN_COMPLETENESS
    for call in re.findall(r"fail|[0-9.]+", calls):
        if call == "fail":
            completeness = UNKNOWN_COMPLETENESS
        else:
            completeness = add_list(completeness, float(call))
    context.completeness = completeness


@then("a list that is read at 10 s names every member that lives: {whole}")
def then_whole(context: Context, whole: str) -> None:
    """Add the list that is asked about."""
    completeness = add_list(context.completeness, READ_AT_S)
    assert is_whole(completeness, READ_AT_S) is (whole == "yes"), completeness
