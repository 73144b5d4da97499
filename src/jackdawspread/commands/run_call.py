"""Calls the administration API on behalf of a command."""

from typing import Any

from typer import Exit, echo

from jackdawspread.commands.admin_client import call_admin
from jackdawspread.commands.admin_endpoint import AdminEndpoint
from jackdawspread.commands.options import OutputFormat
from jackdawspread.commands.printing import print_body, print_refusal
from jackdawspread.settings.checks import check_address

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_VERSION_CONFLICT = 3


def run_call(
    endpoint: AdminEndpoint,
    output: OutputFormat,
    method: str,
    target: str,
    body: dict[str, Any] | None = None,
    expected_version: int = 0,
) -> None:
    """Call the administration API and print the answer.

    The process exits with status 2 if the address is invalid, 3 after a version
    conflict and 1 after any other refusal.
    """
    checked = check_address(endpoint.address)
    if checked.is_error():
        echo(f"--admin {endpoint.address!r}: expected {checked.error}", err=True)
        raise Exit(EXIT_USAGE)
    request_body = dict(body or {})
    if expected_version:
        request_body["expected_version"] = expected_version
    result = call_admin(endpoint, method, target, request_body)
    if result.is_ok():
        print_body(result.ok, output)
        return
    print_refusal(result.error, output)
    is_version_conflict = result.error.get("code") == "lost_race"
    raise Exit(EXIT_VERSION_CONFLICT if is_version_conflict else EXIT_REFUSED)
