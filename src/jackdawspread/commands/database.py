"""Commands that manage databases."""

from typing import Annotated
from urllib.parse import quote

from typer import Argument, Typer

from jackdawspread.commands.admin_endpoint import AdminEndpoint
from jackdawspread.commands.options import (
    Admin,
    Credential,
    ExpectedVersion,
    Output,
    OutputFormat,
)
from jackdawspread.commands.run_call import run_call

app = Typer(no_args_is_help=True, help="Databases: mark them as leaving.")


@app.command("leave")
def leave(
    name: Annotated[str, Argument(help="Name of the database.")],
    admin: Admin,
    credential: Credential,
    expected_version: ExpectedVersion = 0,
    output: Output = OutputFormat.TABLE,
) -> None:
    """Mark a database as leaving, so that it receives no new work."""
    endpoint = AdminEndpoint(admin, credential)
    target = f"/v1/databases/{quote(name, safe='')}/leaving"
    body = {"leaving": True}
    run_call(endpoint, output, "PUT", target, body, expected_version)


@app.command("return")
def cancel_leaving(
    name: Annotated[str, Argument(help="Name of the database.")],
    admin: Admin,
    credential: Credential,
    expected_version: ExpectedVersion = 0,
    output: Output = OutputFormat.TABLE,
) -> None:
    """Remove the leaving mark from a database."""
    endpoint = AdminEndpoint(admin, credential)
    target = f"/v1/databases/{quote(name, safe='')}/leaving"
    body = {"leaving": False}
    run_call(endpoint, output, "PUT", target, body, expected_version)
