"""Commands for the limits of workspaces."""

from typing import Annotated
from urllib.parse import quote

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
from jackdawspread.commands.run_call import run_call

app = Typer(no_args_is_help=True, help="Limits of workspaces: rate, burst and weight.")


@app.command("set")
def set_limits(
    name: Annotated[str, Argument(help="Name of the workspace.")],
    admin: Admin,
    credential: Credential,
    rate: Rate = None,
    burst: Burst = None,
    weight: Weight = None,
    expected_version: ExpectedVersion = 0,
    output: Output = OutputFormat.TABLE,
) -> None:
    """Override limits of a workspace within the bounds of the head office."""
    endpoint = AdminEndpoint(admin, credential)
    body = given_limits(rate, burst, weight)
    if not body:
        raise BadParameter("give at least one of --rate, --burst and --weight")
    target = f"/v1/workspaces/{quote(name, safe='')}/limits"
    run_call(endpoint, output, "PUT", target, body, expected_version)
