"""Process that writes its output to a log file."""

import subprocess
from collections.abc import Mapping, Sequence
from pathlib import Path

from features.support.process_limits import limit_descriptors


class LoggedProcess:
    """Starts and ends a process.

    Parameters
    ----------
    command : sequence of str or pathlib.Path
        Program and its arguments.
    log : pathlib.Path
        File that receives both outputs.
    max_descriptors : int or None
        Limit of open file descriptors that the kernel enforces; None to leave it.
    environment : mapping or None
        Environment of the process; None for that of this process.
    """

    def __init__(
        self,
        command: Sequence[str | Path],
        log: Path,
        max_descriptors: int | None = None,
        environment: Mapping[str, str] | None = None,
    ) -> None:
        self._log = log
        with log.open("wb") as output:
            self._process = subprocess.Popen(
                command,
                env=environment,
                stdout=output,
                stderr=output,
                preexec_fn=lambda: (
                    max_descriptors and limit_descriptors(max_descriptors)
                ),
            )

    @property
    def pid(self) -> int:
        """Id of the process."""
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process.poll() is None

    @property
    def log(self) -> str:
        """What the process has written so far."""
        return self._log.read_text(encoding="utf-8", errors="replace")

    def end(self) -> None:
        """Kill the process."""
        self._process.kill()
        self._process.wait()
