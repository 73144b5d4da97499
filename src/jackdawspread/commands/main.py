"""Entry point of the command line."""

from typer import Typer

from jackdawspread.commands import (
    database,
    head_office,
    key,
    limits,
    preset,
    settings,
    status,
    workspace,
)
from jackdawspread.commands.explain import explain
from jackdawspread.commands.proxy import proxy
from jackdawspread.commands.standin_member import standin_member
from jackdawspread.commands.standin_platform import standin_platform

# A traceback with local variables could show the operator's credential.
app = Typer(
    no_args_is_help=True,
    pretty_exceptions_show_locals=False,
    help="Database proxy with session consistency.",
)
app.command()(proxy)
app.command()(explain)
app.command("standin-member")(standin_member)
app.command("standin-platform")(standin_platform)
app.add_typer(workspace.app, name="workspace")
app.add_typer(key.app, name="key")
app.add_typer(limits.app, name="limits")
app.add_typer(head_office.app, name="head-office")
app.add_typer(preset.app, name="preset")
app.add_typer(database.app, name="database")
app.add_typer(status.app, name="status")
app.add_typer(settings.app, name="settings")


def run() -> None:
    """Run the command line."""
    app()
