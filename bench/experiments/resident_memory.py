"""Resident memory of a process."""

from pathlib import Path


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in megabytes (10**6 bytes)."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024 / 1e6
    raise ProcessLookupError(f"process {pid} has no resident memory")
