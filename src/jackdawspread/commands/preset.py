"""Commands that manage presets."""

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
    """List the presets and show which one is selected."""
    endpoint = AdminEndpoint(admin, credential)
    run_call(endpoint, output, "GET", "/v1/presets")


@app.command("select")
def select(
    name: Annotated[str, Argument(help="Name of the preset.")],
    admin: Admin,
    credential: Credential,
    expected_version: ExpectedVersion = 0,
    output: Output = OutputFormat.TABLE,
) -> None:
    """Select the preset that all instances use."""
    endpoint = AdminEndpoint(admin, credential)
    body = {"name": name}
    run_call(endpoint, output, "PUT", "/v1/preset", body, expected_version)


@app.command("define")
def define(
    name: Annotated[str, Argument(help="Name of the preset.")],
    queue_limit: Annotated[
        int, Option(min=1, help="Maximum number of queued requests per workspace.")
    ],
    queue_wait_ms: Annotated[
        int,
        Option(min=1, help="Maximum time in milliseconds that a request is queued."),
    ],
    admin: Admin,
    credential: Credential,
    replica_reads: Annotated[
        bool, Option(help="Whether bounded-staleness reads may use replicas.")
    ] = True,
    retry_percent: Annotated[
        int, Option(min=0, max=100, help="Percentage of requests that may be retried.")
    ] = 10,
    writes: Annotated[bool, Option(help="Whether writes are accepted.")] = True,
    expected_version: ExpectedVersion = 0,
    output: Output = OutputFormat.TABLE,
) -> None:
    """Define a preset, or replace the values of an existing one."""
    endpoint = AdminEndpoint(admin, credential)
    preset = {
        "queue_limit": queue_limit,
        "queue_wait_ms": queue_wait_ms,
        "replica_reads": replica_reads,
        "retry_percent": retry_percent,
        "writes_allowed": writes,
    }
    target = f"/v1/presets/{quote(name, safe='')}"
    body = {"preset": preset}
    run_call(endpoint, output, "PUT", target, body, expected_version)
