"""Instance that runs as a process of its own, beside stand-ins in this process."""

import os
import subprocess
import sys
from pathlib import Path

from features.support.process_limits import limit_descriptors

ROOT = Path(__file__).resolve().parents[2]
RUN = "from jackdawspread.platform.daemon import main; main()"


class InstanceProcess:
    """Starts and ends the process of an instance.

    Parameters
    ----------
    folder : pathlib.Path
        Folder for its settings file and its log.
    settings : dict
        Settings by their names in the settings file.
    max_descriptors : int or None
        Limit of open file descriptors that the kernel enforces; None to leave it.
    """

    def __init__(
        self,
        folder: Path,
        settings: dict[str, str],
        max_descriptors: int | None = None,
    ) -> None:
        path = folder / "node.conf"
        path.write_text("".join(f"{k}={v}\n" for k, v in settings.items()))
        self._log = folder / "instance.log"
        environment = {
            **os.environ,
            "PYTHONPATH": str(ROOT / "src"),
            "JACKDAWSPREAD_CONFIG": str(path),
        }
        with self._log.open("wb") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-c", RUN],
                env=environment,
                stdout=log,
                stderr=log,
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
