"""Error in a settings file."""

from typing import NamedTuple


class SettingsError(NamedTuple):
    """Value that a settings file may not have, and the values that are accepted."""

    file: str
    section: str
    option: str
    value: str
    accepted: str

    def __str__(self) -> str:
        """Return a message that names the place, the value and what is expected."""
        where = f"{self.file}: [{self.section}] {self.option}".rstrip()
        return f"{where} = {self.value!r} is not accepted; expected {self.accepted}"
