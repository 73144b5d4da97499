"""Child processes by name."""

import os
import signal
import subprocess
import sys
from pathlib import Path
from types import TracebackType

from trio import current_time, sleep

PRODUCT = (sys.executable, "-c", "from jackdawspread.commands.main import run; run()")
MAX_PROCESSES = 40
# A plain traceback ends with the error, which the last lines of a log then show.
ENVIRONMENT = {**os.environ, "TYPER_STANDARD_TRACEBACK": "1"}
POLL_S = 0.02


class ProcessSet:
    """Starts processes and ends every one of them when the block is left.

    Each process has its own session, so that Ctrl-C reaches only the bench,
    which then ends the processes by id.

    Parameters
    ----------
    directory : pathlib.Path
        Takes one log file for each process.
    """

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self._by_name: dict[str, subprocess.Popen[bytes]] = {}
        self._ended_on_request: set[str] = set()

    def __enter__(self) -> "ProcessSet":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End every process, undisturbed by a second Ctrl-C."""
        previous = signal.signal(signal.SIGINT, signal.SIG_IGN)
        try:
            for process in self._by_name.values():
                if process.poll() is None:
                    process.kill()
            for process in self._by_name.values():
                process.wait()
        finally:
            signal.signal(signal.SIGINT, previous)

    def start(self, name: str, command: tuple[str, ...]) -> None:
        """Start a process whose output goes to ``NAME.log``."""
        if len(self._by_name) >= MAX_PROCESSES:
            raise RuntimeError(f"more than {MAX_PROCESSES} processes")
        with (self._directory / f"{name}.log").open("ab") as log:
            self._by_name[name] = subprocess.Popen(
                command,
                env=ENVIRONMENT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                start_new_session=True,
            )

    def forget(self, name: str) -> None:
        """Drop a process that has ended, which frees its place."""
        if not self.running(name):
            del self._by_name[name]

    def names(self) -> tuple[str, ...]:
        """Return the names of the processes that were started."""
        return tuple(self._by_name)

    def pid(self, name: str) -> int:
        """Return the id of a process."""
        return self._by_name[name].pid

    def exit_status(self, name: str) -> int | None:
        """Return the exit status of a process, or None while it runs."""
        return self._by_name[name].poll()

    def running(self, name: str) -> bool:
        """Whether a process has not ended."""
        return self._by_name[name].poll() is None

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that has not ended."""
        if number in (signal.SIGKILL, signal.SIGTERM):
            self._ended_on_request.add(name)
        if self.running(name):
            os.kill(self.pid(name), number)

    def crashed(self) -> dict[str, str]:
        """Return the end of the output of every process that ended by itself."""
        return {
            name: self.log_tail(name)
            for name in self._by_name
            if not self.running(name) and name not in self._ended_on_request
        }

    def log_tail(self, name: str, size: int = 600) -> str:
        """Return the end of the output of a process."""
        data = (self._directory / f"{name}.log").read_bytes()
        return data[-size:].decode(errors="replace")

    async def wait(self, name: str, seconds: float) -> bool:
        """Wait for a process to end and return whether it did."""
        deadline = current_time() + seconds
        while self.running(name) and current_time() < deadline:
            await sleep(POLL_S)
        return not self.running(name)
