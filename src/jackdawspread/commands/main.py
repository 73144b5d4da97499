"""Entry point of the command line."""

from typer import Typer

from jackdawspread.commands.proxy import proxy
from jackdawspread.commands.standin_member import standin_member
from jackdawspread.commands.standin_platform import standin_platform

app = Typer(no_args_is_help=True, help="Database proxy with session consistency.")
app.command()(proxy)
app.command("standin-member")(standin_member)
app.command("standin-platform")(standin_platform)


def run() -> None:
    """Run the command line."""
    app()
