"""Steps that compare the control decisions with the specification."""

from behave import then
from behave.runner import Context
from features.conformance.configuration_machine import check_configuration_conformance
from features.conformance.view_machine import check_view_conformance
from features.conformance.withdrawal_machine import check_withdrawal_conformance


@then("the decisions and the model of the view agree after every step")
def view_binding(context: Context) -> None:
    check_view_conformance()


@then("the decisions and the model of a withdrawal agree after every step")
def withdrawal_binding(context: Context) -> None:
    check_withdrawal_conformance()


@then("the decisions and the model of the configuration agree after every step")
def configuration_binding(context: Context) -> None:
    check_configuration_conformance()
