"""Runs a stand-in of a database member."""

from typing import Annotated

from trio import Event, run
from typer import Argument, Option

from jackdawspread.composition import listen
from jackdawspread.standins.member_handler import MemberHandler
from jackdawspread.tasks.http_server import HttpServer


def standin_member(
    address: Annotated[str, Argument(help="IP:port to listen on.")],
    schema: Annotated[str, Option(help="SQL that creates the tables.")] = "",
) -> None:
    """Run a stand-in of a database member until it is killed."""
    run(_run, address, schema)


async def _run(address: str, schema: str) -> None:
    handler = MemberHandler(schema)
    await HttpServer(await listen(address), handler.handle, Event()).run()
