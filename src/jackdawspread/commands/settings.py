"""Commands for settings files."""

from pathlib import Path
from typing import Annotated, Any

from expression import Result
from typer import Argument, Exit, Option, Typer, echo

from jackdawspread.commands.run_call import EXIT_USAGE
from jackdawspread.platform.settings_file import read_platform_settings
from jackdawspread.settings.instance_settings_file import read_instance_settings
from jackdawspread.settings.settings_error import SettingsError

app = Typer(no_args_is_help=True, help="Settings files: check them.")


@app.callback()
def settings() -> None:
    """Check settings files before an instance is started with them."""


@app.command("check")
def check(
    file: Annotated[Path, Argument(help="Settings file of an instance.")],
    platform: Annotated[
        bool, Option(help="The file is the platform's, with lines name=value.")
    ] = False,
) -> None:
    """Check a settings file and name every error in it."""
    read = read_platform_settings if platform else read_instance_settings
    checked: Result[Any, list[SettingsError]] = read(file)
    if checked.is_error():
        for error in checked.error:
            echo(str(error), err=True)
        raise Exit(EXIT_USAGE)
    echo(f"{file}: accepted")
