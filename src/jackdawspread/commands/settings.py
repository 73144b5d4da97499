"""Commands that check settings files."""

from pathlib import Path
from typing import Annotated

from typer import Argument, Exit, Option, Typer, echo

from jackdawspread.commands.run_call import EXIT_USAGE
from jackdawspread.platform.settings_file import read_platform_settings
from jackdawspread.settings.instance_settings_file import read_instance_settings
from jackdawspread.settings.settings_error import SettingsError

app = Typer(no_args_is_help=True, help="Settings files: check them.")


@app.callback()
def settings() -> None:
    """Check settings files before starting an instance."""


@app.command("check")
def check(
    file: Annotated[Path, Argument(help="Settings file of an instance.")],
    platform: Annotated[
        bool, Option(help="Read the platform's format, with lines name=value.")
    ] = False,
) -> None:
    """Check a settings file and report every error in it."""
    errors = _find_errors(file, platform)
    for error in errors:
        echo(str(error), err=True)
    if errors:
        raise Exit(EXIT_USAGE)
    echo(f"{file}: accepted")


def _find_errors(file: Path, platform: bool) -> list[SettingsError]:
    """Return the errors of a settings file in either format."""
    if platform:
        settings_or_errors = read_platform_settings(file)
        return settings_or_errors if isinstance(settings_or_errors, list) else []
    checked = read_instance_settings(file)
    return checked.error if checked.is_error() else []
