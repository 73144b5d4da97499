"""Logs the rows of the configuration that could not be decoded."""

from absl import logging


class IgnoredRows:
    """Logs each version of a row once."""

    def __init__(self) -> None:
        self._reported = 0

    def report(self, version: int, reason: str) -> None:
        """Log a row, unless it was logged before."""
        if version != self._reported:
            self._reported = version
            logging.error(
                "configuration: row ignored row_version=%d reason=%r", version, reason
            )
