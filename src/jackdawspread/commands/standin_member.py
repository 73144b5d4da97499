"""Runs a stand-in of a database member."""

from typing import Annotated

from trio import run
from typer import Argument, Option

from jackdawspread.standins.member.member_options import MemberOptions
from jackdawspread.standins.member.run_member import run_member
from jackdawspread.standins.print_listening import print_listening
from jackdawspread.standins.schemas.schema_file import read_schema
from jackdawspread.tasks.listen import listen


def standin_member(
    address: Annotated[str, Argument(help="IP:port to listen on; port 0 picks one.")],
    name: Annotated[str, Option(help="Name of the member.")] = "member",
    schema: Annotated[
        str, Option(help="SQL file, or the built-in saltbush or sao_mai.")
    ] = "",
    slots: Annotated[int, Option(min=1, help="Statements run at once.")] = 2,
    connections: Annotated[int, Option(min=1, help="Connection limit.")] = 16,
    connect_ms: Annotated[float, Option(min=0, help="Connection set-up time.")] = 10.0,
    service_ms: Annotated[float, Option(min=0, help="Time per statement.")] = 0.0,
    replication_lag_ms: Annotated[
        float, Option(min=0, help="Time an entry is held before it is applied.")
    ] = 0.0,
    network_delay_ms: Annotated[
        float, Option(min=0, help="One-way latency added to each answer.")
    ] = 0.0,
) -> None:
    """Run a stand-in of a database member until it is killed."""
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
