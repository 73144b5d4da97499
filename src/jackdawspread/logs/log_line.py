"""Line of an instance's log."""

import re
from datetime import datetime
from typing import NamedTuple

STAMP = re.compile(r"(\d{4}-\d\d-\d\d \d\d:\d\d:\d\d,\d{3}) [A-Z]+ (.*)")
STAMP_FORMAT = "%Y-%m-%d %H:%M:%S,%f"


class LogLine(NamedTuple):
    """Time of day in seconds, name of the log and text of a line."""

    at: float
    source: str
    text: str


def parse_line(line: str, source: str) -> LogLine | None:
    """Return a line of the log, None for text of another kind."""
    match = STAMP.search(line)
    if match is None:
        return None
    stamp = datetime.strptime(match[1], STAMP_FORMAT)
    return LogLine(stamp.timestamp(), source, match[2].strip())
