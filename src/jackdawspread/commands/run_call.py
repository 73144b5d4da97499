"""Makes a call for a command and ends with its exit status."""

from typing import Any

from typer import Exit, echo

from jackdawspread.commands.admin_client import call_admin
from jackdawspread.commands.admin_endpoint import AdminEndpoint
from jackdawspread.commands.options import OutputFormat
from jackdawspread.commands.printing import print_body, print_refusal
from jackdawspread.settings.checks import check_address

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_LOST_RACE = 3


def run_call(
    connection: AdminEndpoint,
    output: OutputFormat,
    method: str,
    target: str,
    body: dict[str, Any] | None = None,
    expected_version: int = 0,
) -> None:
    """Call the administration API, print the answer, and exit 1 or 3 if refused."""
    checked = check_address(connection.address)
    if checked.is_error():
        echo(f"--admin {connection.address!r}: expected {checked.error}", err=True)
        raise Exit(EXIT_USAGE)
    sent = dict(body or {})
    if expected_version:
        sent["expected_version"] = expected_version
    result = call_admin(connection, method, target, sent)
    if result.is_ok():
        print_body(result.ok, output)
        return
    print_refusal(result.error, output)
    is_race = result.error.get("code") == "lost_race"
    raise Exit(EXIT_LOST_RACE if is_race else EXIT_REFUSED)
