"""Commands that show the state of the fleet."""

from typer import Typer

from jackdawspread.commands.admin_endpoint import AdminEndpoint
from jackdawspread.commands.options import (
    Admin,
    Credential,
    Output,
    OutputFormat,
)
from jackdawspread.commands.run_call import run_call

app = Typer(
    no_args_is_help=True,
    help="State of the fleet as one instance sees it.",
)


@app.command("show")
def show(
    admin: Admin,
    credential: Credential,
    output: Output = OutputFormat.TABLE,
) -> None:
    """Show members, view, authority, owners and terms as one instance sees them."""
    endpoint = AdminEndpoint(admin, credential)
    run_call(endpoint, output, "GET", "/v1/status")


@app.command("configuration")
def configuration(
    admin: Admin,
    credential: Credential,
    output: Output = OutputFormat.TABLE,
) -> None:
    """Show the complete configuration document."""
    endpoint = AdminEndpoint(admin, credential)
    run_call(endpoint, output, "GET", "/v1/configuration")
