"""Commands for settings files."""

from pathlib import Path
from typing import Annotated

from typer import Argument, Exit, Typer, echo

from jackdawspread.commands.run_call import EXIT_USAGE
from jackdawspread.settings.instance_settings_file import read_instance_settings

app = Typer(no_args_is_help=True, help="Settings files: check them.")


@app.callback()
def settings() -> None:
    """Check settings files before an instance is started with them."""


@app.command("check")
def check(
    file: Annotated[Path, Argument(help="Settings file of an instance.")],
) -> None:
    """Check a settings file and name every error in it."""
    checked = read_instance_settings(file)
    if checked.is_error():
        for error in checked.error:
            echo(str(error), err=True)
        raise Exit(EXIT_USAGE)
    echo(f"{file}: accepted")
