"""Steps that compare the control decisions with the specification."""

from behave import then
from behave.runner import Context
from features.binding.view_machine import check_view_binding


@then("the decisions and the model of the view agree after every step")
def view_binding(context: Context) -> None:
    check_view_binding()
