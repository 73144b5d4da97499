"""Commands for keys."""

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

app = Typer(no_args_is_help=True, help="Keys of workspaces: issue and withdraw them.")


@app.command("issue")
def issue(
    workspace: Annotated[str, Argument(help="Workspace of the key.")],
    admin: Admin,
    credential: Credential,
    expected_version: ExpectedVersion = 0,
    output: Output = OutputFormat.TABLE,
) -> None:
    """Issue a key; it is shown only this once."""
    connection = AdminEndpoint(admin, credential)
    target = f"/v1/workspaces/{quote(workspace, safe='')}/keys"
    run_call(connection, output, "POST", target, {}, expected_version)


@app.command("withdraw")
def withdraw(
    key_id: Annotated[str, Argument(help="Id that was shown with the key.")],
    admin: Admin,
    credential: Credential,
    output: Output = OutputFormat.TABLE,
) -> None:
    """Withdraw a key.

    The answer tells whether it is in force on every instance or still pending,
    and which instances have confirmed it.
    """
    connection = AdminEndpoint(admin, credential)
    target = f"/v1/keys/{quote(key_id, safe='')}"
    run_call(connection, output, "DELETE", target)
