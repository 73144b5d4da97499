"""Commands for the default limits and the bounds that the head office sets."""

from typing import Annotated

from typer import Argument, BadParameter, Option, Typer

from jackdawspread.commands.admin_endpoint import AdminEndpoint
from jackdawspread.commands.options import (
    Admin,
    Credential,
    ExpectedVersion,
    Output,
    OutputFormat,
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
    rate: Annotated[
        float | None, Option(help="Requests per second, summed over all instances.")
    ] = None,
    burst: Annotated[int | None, Option(help="Requests accepted at once.")] = None,
    weight: Annotated[
        float | None, Option(help="Weight in the division of a busy database.")
    ] = None,
    expected_version: ExpectedVersion = 0,
    output: Output = OutputFormat.TABLE,
) -> None:
    """Set the default limits, or a bound of the overrides."""
    endpoint = AdminEndpoint(admin, credential)
    given = {"rate": rate, "burst": burst, "weight": weight}
    limits = {option: value for option, value in given.items() if value is not None}
    if not limits:
        raise BadParameter("give at least one of --rate, --burst and --weight")
    body = {rule.value: limits}
    run_call(endpoint, output, "PUT", "/v1/head-office", body, expected_version)
