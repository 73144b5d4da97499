"""Commands for limits of workspaces."""

from typing import Annotated
from urllib.parse import quote

from typer import Argument, BadParameter, Option, Typer

from jackdawspread.commands.admin_connection import AdminConnection
from jackdawspread.commands.options import (
    Admin,
    Credential,
    ExpectedVersion,
    Output,
    OutputFormat,
)
from jackdawspread.commands.run_call import run_call

app = Typer(no_args_is_help=True, help="Limits of workspaces: rate, burst and weight.")


@app.command("set")
def set_limits(
    name: Annotated[str, Argument(help="Name of the workspace.")],
    admin: Admin,
    credential: Credential,
    rate: Annotated[
        float | None, Option(help="Requests per second, over all instances.")
    ] = None,
    burst: Annotated[int | None, Option(help="Requests that may come at once.")] = None,
    weight: Annotated[
        float | None, Option(help="Share of a busy database, against the others.")
    ] = None,
    expected_version: ExpectedVersion = 0,
    output: Output = OutputFormat.TABLE,
) -> None:
    """Override limits of a workspace within the head office's bounds."""
    connection = AdminConnection(admin, credential)
    given = {"rate": rate, "burst": burst, "weight": weight}
    body = {option: value for option, value in given.items() if value is not None}
    if not body:
        raise BadParameter("give at least one of --rate, --burst and --weight")
    target = f"/v1/workspaces/{quote(name, safe='')}/limits"
    run_call(connection, output, "PUT", target, body, expected_version)
