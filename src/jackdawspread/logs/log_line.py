"""Parsed line of an instance's log."""

import re
from datetime import datetime
from typing import NamedTuple

LINE_PATTERN = re.compile(r"(\d{4}-\d\d-\d\d \d\d:\d\d:\d\d,\d{3}) [A-Z]+ (.*)")
TIMESTAMP_FORMAT = "%Y-%m-%d %H:%M:%S,%f"


class LogLine(NamedTuple):
    """Parsed line of a log.

    Parameters
    ----------
    at : float
        POSIX timestamp of the line, in seconds.
    source : str
        Name of the log.
    text : str
        Text of the line after the timestamp and the level.
    """

    at: float
    source: str
    text: str


def parse_line(line: str, source: str) -> LogLine | None:
    """Parse a line of a log; return None if it has no timestamp and level."""
    match = LINE_PATTERN.search(line)
    if match is None:
        return None
    written_at = datetime.strptime(match[1], TIMESTAMP_FORMAT)
    return LogLine(written_at.timestamp(), source, match[2].strip())
