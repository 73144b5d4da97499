"""Command that runs a stand-in for the platform's table service."""

from typing import Annotated

from trio import run
from typer import Argument

from jackdawspread.standins.platform.run_platform import run_platform
from jackdawspread.standins.print_listening import print_listening
from jackdawspread.tasks.listen import listen


def standin_platform(
    address: Annotated[
        str, Argument(help="IP:port to listen on; port 0 picks a free port.")
    ],
) -> None:
    """Run a stand-in for the platform until it is killed."""
    run(_run, address)


async def _run(address: str) -> None:
    listener = await listen(address)
    print_listening(listener)
    await run_platform(listener)
