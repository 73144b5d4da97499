"""Statement that could not be decoded."""

from typing import NamedTuple


class MalformedStatement(NamedTuple):
    """Statement that could not be decoded, with the reason."""

    reason: str
