"""Commands for presets."""

from typing import Annotated
from urllib.parse import quote

from typer import Argument, Option, Typer

from jackdawspread.commands.admin_endpoint import AdminEndpoint
from jackdawspread.commands.options import (
    Admin,
    Credential,
    ExpectedVersion,
    Output,
    OutputFormat,
)
from jackdawspread.commands.run_call import run_call

app = Typer(no_args_is_help=True, help="Presets: list, define and select them.")


@app.command("list")
def list_presets(
    admin: Admin,
    credential: Credential,
    output: Output = OutputFormat.TABLE,
) -> None:
    """List the presets and the one in force."""
    connection = AdminEndpoint(admin, credential)
    run_call(connection, output, "GET", "/v1/presets")


@app.command("select")
def select(
    name: Annotated[str, Argument(help="Name of the preset.")],
    admin: Admin,
    credential: Credential,
    expected_version: ExpectedVersion = 0,
    output: Output = OutputFormat.TABLE,
) -> None:
    """Put a preset in force on all instances."""
    connection = AdminEndpoint(admin, credential)
    body = {"name": name}
    run_call(connection, output, "PUT", "/v1/preset", body, expected_version)


@app.command("define")
def define(
    name: Annotated[str, Argument(help="Name of the preset.")],
    queue_limit: Annotated[
        int, Option(min=1, help="Requests that one workspace may have queued.")
    ],
    queue_wait_ms: Annotated[
        int, Option(min=1, help="Milliseconds that a request may be queued.")
    ],
    admin: Admin,
    credential: Credential,
    replica_reads: Annotated[
        bool, Option(help="Whether reads with a stated age may go to replicas.")
    ] = True,
    retry_percent: Annotated[
        int, Option(min=0, max=100, help="Share of requests that may be retried.")
    ] = 10,
    writes: Annotated[bool, Option(help="Whether writes are accepted.")] = True,
    expected_version: ExpectedVersion = 0,
    output: Output = OutputFormat.TABLE,
) -> None:
    """Define a preset or replace its values."""
    connection = AdminEndpoint(admin, credential)
    preset = {
        "queue_limit": queue_limit,
        "queue_wait_ms": queue_wait_ms,
        "replica_reads": replica_reads,
        "retry_percent": retry_percent,
        "writes_allowed": writes,
    }
    target = f"/v1/presets/{quote(name, safe='')}"
    body = {"preset": preset}
    run_call(connection, output, "PUT", target, body, expected_version)
