"""Reads the options of one section."""

from collections.abc import Callable
from typing import TypeVar

from expression import Result

from jackdawspread.settings.settings_error import SettingsError

T = TypeVar("T")
Check = Callable[[str], Result[T, str]]


class SectionReader:
    """Takes options out of a section and collects what is wrong with them.

    Parameters
    ----------
    file : str
        Name of the settings file, for errors.
    name : str
        Name of the section.
    options : dict of str to str
        Options of the section; those taken are removed.
    errors : list of SettingsError
        Receives every error found.
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

    def take(self, option: str, check: Check[T], default: str = "") -> T:
        """Return the checked value of an option; it is required without a default.

        After an error the value is unusable, and the settings are refused.
        """
        text = self._options.pop(option, default)
        checked = check(text)
        if checked.is_error():
            self._add(option, text, checked.error)
        return checked.ok if checked.is_ok() else None  # type: ignore[return-value]

    def take_list(self, option: str, check: Check[T]) -> tuple[T, ...]:
        """Return the checked values of a comma-separated option."""
        parts = [part.strip() for part in self._options.pop(option, "").split(",")]
        values = []
        for part in parts:
            checked = check(part)
            if checked.is_error():
                self._add(option, part, checked.error)
            else:
                values.append(checked.ok)
        return tuple(values)

    def check_title(self, name: str, check: Check[str]) -> None:
        """Check the name in the section's title."""
        checked = check(name)
        if checked.is_error():
            self._add("", name, checked.error)

    def refuse_unknown(self) -> None:
        """Report every option that has not been taken."""
        for option, text in self._options.items():
            self._add(option, text, "no such option in this section")

    def _add(self, option: str, value: str, accepted: str) -> None:
        error = SettingsError(self._file, self._name, option, value, accepted)
        self._errors.append(error)
