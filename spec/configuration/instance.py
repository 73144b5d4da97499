"""Instance of the proxy."""

from typing import NamedTuple


class Instance(NamedTuple):
    """Version and preset that an instance applies.

    ``serving`` is false after a restart until the instance may take work;
    ``highest`` is the highest version that its address has ever served.
    """

    version: int
    preset: int
    serving: bool
    highest: int
