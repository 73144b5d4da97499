"""Command that runs a stand-in for a database member."""

from typing import Annotated

from trio import run
from typer import Argument, Option

from jackdawspread.standins.member.member_options import MemberOptions
from jackdawspread.standins.member.run_member import run_member
from jackdawspread.standins.print_listening import print_listening
from jackdawspread.standins.schemas.schema_file import read_schema
from jackdawspread.tasks.listen import listen


def standin_member(
    address: Annotated[
        str, Argument(help="IP:port to listen on; port 0 picks a free port.")
    ],
    name: Annotated[str, Option(help="Name of the member.")] = "member",
    schema: Annotated[
        str, Option(help="SQL file, or a built-in schema: saltbush or sao_mai.")
    ] = "",
    slots: Annotated[int, Option(min=1, help="Statements executed concurrently.")] = 2,
    connections: Annotated[
        int, Option(min=1, help="Maximum number of connections.")
    ] = 16,
    connect_ms: Annotated[
        float, Option(min=0, help="Connection set-up time in milliseconds.")
    ] = 10.0,
    service_ms: Annotated[
        float, Option(min=0, help="Milliseconds per statement.")
    ] = 0.0,
    replication_lag_ms: Annotated[
        float, Option(min=0, help="Milliseconds by which a replica delays each entry.")
    ] = 0.0,
    network_delay_ms: Annotated[
        float, Option(min=0, help="Milliseconds of latency added to each answer.")
    ] = 0.0,
) -> None:
    """Run a stand-in for a database member until it is killed."""
    options = MemberOptions(
        name,
        read_schema(schema),
        slots,
        connections,
        connect_ms,
        service_ms,
        replication_lag_ms,
        network_delay_ms,
    )
    run(_run, address, options)


async def _run(address: str, options: MemberOptions) -> None:
    listener = await listen(address)
    print_listening(listener)
    await run_member(options, listener)
