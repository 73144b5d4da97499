"""Commands for the default limits and the bounds that the head office sets."""

from typing import Annotated

from typer import Argument, BadParameter, Typer

from jackdawspread.commands.admin_endpoint import AdminEndpoint
from jackdawspread.commands.options import (
    Admin,
    Burst,
    Credential,
    ExpectedVersion,
    Output,
    OutputFormat,
    Rate,
    Weight,
    given_limits,
)
from jackdawspread.commands.rule import Rule
from jackdawspread.commands.run_call import run_call

app = Typer(
    no_args_is_help=True,
    help="Rules of the head office: default limits, and bounds of overrides.",
)


@app.command("show")
def show(
    admin: Admin,
    credential: Credential,
    output: Output = OutputFormat.TABLE,
) -> None:
    """Show the default limits and the bounds of overrides."""
    endpoint = AdminEndpoint(admin, credential)
    run_call(endpoint, output, "GET", "/v1/head-office")


@app.command("set")
def set_rules(
    rule: Annotated[
        Rule, Argument(help="Defaults, or the lowest or highest override allowed.")
    ],
    admin: Admin,
    credential: Credential,
    rate: Rate = None,
    burst: Burst = None,
    weight: Weight = None,
    expected_version: ExpectedVersion = 0,
    output: Output = OutputFormat.TABLE,
) -> None:
    """Set the default limits, or a bound of the overrides."""
    endpoint = AdminEndpoint(admin, credential)
    limits = given_limits(rate, burst, weight)
    if not limits:
        raise BadParameter("give at least one of --rate, --burst and --weight")
    body = {rule.value: limits}
    run_call(endpoint, output, "PUT", "/v1/head-office", body, expected_version)
