"""Commands that manage the keys of workspaces."""

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
    """Issue a key, which is shown only once."""
    endpoint = AdminEndpoint(admin, credential)
    target = f"/v1/workspaces/{quote(workspace, safe='')}/keys"
    run_call(endpoint, output, "POST", target, {}, expected_version)


@app.command("withdraw")
def withdraw(
    key_id: Annotated[str, Argument(help="Id shown when the key was issued.")],
    admin: Admin,
    credential: Credential,
    output: Output = OutputFormat.TABLE,
) -> None:
    """Withdraw a key.

    The answer states whether the withdrawal is in force on every instance or
    still pending, and which instances have confirmed it.
    """
    endpoint = AdminEndpoint(admin, credential)
    target = f"/v1/keys/{quote(key_id, safe='')}"
    run_call(endpoint, output, "DELETE", target)
