"""Variant of an experiment."""

from typing import NamedTuple


class Variant(NamedTuple):
    """Name and options of the section ``[experiment]`` of every instance."""

    name: str
    options: dict[str, str]
