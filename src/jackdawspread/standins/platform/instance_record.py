"""Registered instance."""

from typing import NamedTuple

from jackdawspread.standins.platform.instance_document import InstanceDocument


class InstanceRecord(NamedTuple):
    """Registered instance with its number of consecutive failed connect checks."""

    instance: InstanceDocument
    failed_checks: int = 0
