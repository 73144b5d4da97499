"""Operator's request as decoded from its protocol."""

from typing import NamedTuple

from jackdawspread.messages.admin_section import AdminSection
from jackdawspread.messages.configuration_change import ConfigurationChange
from jackdawspread.messages.issue_key import IssueKey


class AdminCommand(NamedTuple):
    """Question or change; `expected_version` 0 means the newest version."""

    action: AdminSection | IssueKey | ConfigurationChange
    expected_version: int = 0
