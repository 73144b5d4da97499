"""Instance that runs as a process of its own, beside stand-ins in this process."""

import os
import sys
from pathlib import Path

from features.support.logged_process import LoggedProcess

SOURCE = Path(__file__).resolve().parents[2] / "src"
RUN = "from jackdawspread.platform.daemon import main; main()"


class InstanceProcess(LoggedProcess):
    """Process of an instance on the users' platform.

    Parameters
    ----------
    folder : pathlib.Path
        Folder for its settings file and its log.
    settings : dict
        Settings by their names in the settings file.
    max_descriptors : int or None
        Limit of open file descriptors that the kernel enforces; None to leave it.
    source : pathlib.Path
        Folder of the packages, also of another version.
    """

    def __init__(
        self,
        folder: Path,
        settings: dict[str, str],
        max_descriptors: int | None = None,
        source: Path = SOURCE,
    ) -> None:
        path = folder / "node.conf"
        path.write_text("".join(f"{k}={v}\n" for k, v in settings.items()))
        environment = {
            **os.environ,
            "PYTHONPATH": str(source),
            "JACKDAWSPREAD_CONFIG": str(path),
        }
        super().__init__(
            (sys.executable, "-c", RUN),
            folder / "instance.log",
            max_descriptors,
            environment,
        )
