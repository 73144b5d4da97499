"""What a process uses of its limits."""

import resource
from os import sysconf
from pathlib import Path
from time import monotonic, sleep

POLL_S = 1.0
# An idle instance uses about a fiftieth of a core.
IDLE_CPU_SHARE = 0.1
IDLE_TIMEOUT_S = 60.0


def peak_memory_mb(pid: int) -> float:
    """Return the largest resident memory that a process has had, in MiB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    raise ValueError(f"process {pid} has ended")


def open_descriptors(pid: int) -> int:
    """Return the number of open file descriptors of a process."""
    return len(list(Path(f"/proc/{pid}/fd").iterdir()))


def limit_descriptors(count: int) -> None:
    """Limit the open file descriptors of this process."""
    resource.setrlimit(resource.RLIMIT_NOFILE, (count, count))


def wait_until_idle(pid: int) -> None:
    """Wait until a process has handled what it was sent, or for a minute."""
    deadline = monotonic() + IDLE_TIMEOUT_S
    used_s = _processor_seconds(pid)
    while monotonic() < deadline:
        sleep(POLL_S)
        before_s, used_s = used_s, _processor_seconds(pid)
        if used_s - before_s < IDLE_CPU_SHARE * POLL_S:
            return


def _processor_seconds(pid: int) -> float:
    try:
        stat = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return 0.0
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / sysconf("SC_CLK_TCK")
