"""Reads the options of one section of a settings file."""

from collections.abc import Callable
from typing import TypeVar

from expression import Result

from jackdawspread.settings.settings_error import SettingsError

T = TypeVar("T")
Check = Callable[[str], Result[T, str]]


class SectionReader:
    """Reads and validates the options of a section, and collects the errors.

    Parameters
    ----------
    file : str
        Name of the settings file, used in errors.
    name : str
        Name of the section.
    options : dict of str to str
        Options of the section; an option is removed when it is read.
    errors : list of SettingsError
        List to which every error is appended.
    """

    def __init__(
        self,
        file: str,
        name: str,
        options: dict[str, str],
        errors: list[SettingsError],
    ) -> None:
        self._file = file
        self._name = name
        self._options = options
        self._errors = errors

    def read(self, option: str, check: Check[T], default: str = "") -> T:
        """Return the validated value of an option, required unless it has a default.

        After an error the returned value is None, and the settings are rejected as
        a whole.
        """
        text = self._options.pop(option, default)
        checked = check(text)
        if checked.is_error():
            self._add_error(option, text, checked.error)
        return checked.ok if checked.is_ok() else None  # type: ignore[return-value]

    def read_list(self, option: str, check: Check[T]) -> tuple[T, ...]:
        """Return the validated values of a comma-separated option."""
        parts = [part.strip() for part in self._options.pop(option, "").split(",")]
        values = []
        for part in parts:
            checked = check(part)
            if checked.is_error():
                self._add_error(option, part, checked.error)
            else:
                values.append(checked.ok)
        return tuple(values)

    def check_title(self, name: str, check: Check[str]) -> None:
        """Check the name in the section's title."""
        checked = check(name)
        if checked.is_error():
            self._add_error("", name, checked.error)

    def report_unknown_options(self) -> None:
        """Report every option that has not been read as unknown."""
        for option, text in self._options.items():
            self._add_error(option, text, "no such option in this section")

    def _add_error(self, option: str, value: str, accepted: str) -> None:
        error = SettingsError(self._file, self._name, option, value, accepted)
        self._errors.append(error)
