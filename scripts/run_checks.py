"""Runs build, formatter, linter, type checker, model checker and features.

The last line counts the checks: ``N passed, N failed``.  Scenarios tagged
``known_red`` are passed over and printed; KNOWN-RED.txt must name each of them.
"""

import os
import re
import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
BIN = Path(sys.executable).parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
# The build of the deploy file, and an import of what it built.
BUILD = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["build"]
BUILT = "PYTHONPATH=target/deps python3 -c 'import jackdawspread.platform.daemon'"
STEPS = {
    "build": ["sh", "-c", f"{{ {BUILD}; }} && {BUILT}"],
    "format": [str(BIN / "ruff"), "format", "--check", "."],
    "lint": [str(BIN / "ruff"), "check", "."],
    "types": [str(BIN / "mypy")],
    "isolation": [sys.executable, "scripts/check_isolation.py"],
    "model": [sys.executable, "-m", "spec"],
    "features": [str(BIN / "behave"), "--tags=not @known_red", "features"],
}
COUNTED = re.compile(r"(\d+) (?:scenarios? |checks? )?passed, (\d+) failed")


def run_step(name: str, command: list[str]) -> tuple[int, int]:
    """Run one step and return how many of its checks passed and failed."""
    print(f"== {name}", flush=True)
    done = subprocess.run(
        command,
        cwd=ROOT,
        # Output and errors keep their order, so that a traceback stands at the end.
        env={**os.environ, "PYTHONUNBUFFERED": "1"},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )
    print(done.stdout, flush=True)
    counts = [tuple(map(int, c)) for c in COUNTED.findall(done.stdout)]
    passed, failed = counts[-1] if counts else (0, 0)
    if done.returncode != 0:
        print(f"{name}: exit status {done.returncode}", flush=True)
        return passed, max(failed, 1)
    return max(passed, 1), failed


def known_red_scenarios() -> list[str]:
    """Return the names of the scenarios that are tagged as known failures."""
    names = []
    for path in sorted((ROOT / "features").rglob("*.feature")):
        lines = path.read_text(encoding="utf-8").splitlines()
        for line, following in zip(lines, lines[1:], strict=False):
            if "@known_red" in line.split():
                names.append(following.partition(":")[2].strip())
    return names


def main() -> int:
    """Run every step and print the counts."""
    passed = failed = 0
    for name, command in STEPS.items():
        step_passed, step_failed = run_step(name, command)
        passed, failed = passed + step_passed, failed + step_failed
    listed = KNOWN_RED.read_text(encoding="utf-8") if KNOWN_RED.exists() else ""
    for scenario in known_red_scenarios():
        print(f"known red, passed over: {scenario}")
        if scenario not in listed:
            print(f"not listed in KNOWN-RED.txt: {scenario}")
            failed += 1
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
