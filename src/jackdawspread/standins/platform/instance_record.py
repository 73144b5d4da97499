"""Registered instance."""

from typing import NamedTuple

from jackdawspread.standins.platform.instance_document import InstanceDocument


class InstanceRecord(NamedTuple):
    """Registration with the number of failed connect checks in a row."""

    instance: InstanceDocument
    failed_checks: int = 0
