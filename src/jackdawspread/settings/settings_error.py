"""Error in a settings file."""

from typing import NamedTuple


class SettingsError(NamedTuple):
    """Names what is wrong in a settings file and what is accepted."""

    file: str
    section: str
    option: str
    value: str
    accepted: str

    def __str__(self) -> str:
        """Return one sentence that says what to fix."""
        where = f"{self.file}: [{self.section}] {self.option}".rstrip()
        return f"{where} = {self.value!r} is not accepted; expected {self.accepted}"
