"""Commands that manage workspaces."""

from typing import Annotated

from typer import Argument, Option, Typer

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

app = Typer(no_args_is_help=True, help="Workspaces: create and list them.")


@app.command("create")
def create(
    name: Annotated[str, Argument(help="Name of the workspace.")],
    admin: Admin,
    credential: Credential,
    database: Annotated[
        list[str],
        Option(
            help="Database that the workspace may use; repeat the option for "
            "several. By default, all databases."
        ),
    ] = [],  # noqa: B006
    rate: Rate = None,
    burst: Burst = None,
    weight: Weight = None,
    expected_version: ExpectedVersion = 0,
    output: Output = OutputFormat.TABLE,
) -> None:
    """Create a workspace; the head office sets the limits that are not given."""
    endpoint = AdminEndpoint(admin, credential)
    limits = given_limits(rate, burst, weight)
    body = {"name": name, "databases": database, **limits}
    run_call(endpoint, output, "POST", "/v1/workspaces", body, expected_version)


@app.command("list")
def list_workspaces(
    admin: Admin,
    credential: Credential,
    output: Output = OutputFormat.TABLE,
) -> None:
    """List the workspaces with their overrides and effective limits."""
    endpoint = AdminEndpoint(admin, credential)
    run_call(endpoint, output, "GET", "/v1/workspaces")
