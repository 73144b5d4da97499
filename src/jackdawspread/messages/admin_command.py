"""Operator's request as decoded from its protocol."""

from typing import NamedTuple

from jackdawspread.messages.configuration_change import ConfigurationChange
from jackdawspread.messages.issue_key import IssueKey
from jackdawspread.messages.status_section import StatusSection


class AdminCommand(NamedTuple):
    """Query or change; ``expected_version`` 0 means the newest version."""

    action: StatusSection | IssueKey | ConfigurationChange
    expected_version: int = 0
