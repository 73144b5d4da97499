"""Applies one-line changes to a copy of the decisions and runs the comparisons.

Prints a Markdown table; a comparison that still passes has not detected its change.
It is not part of the checks, since it takes longer than 30 s.
"""

import os
import subprocess
import sys
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from shutil import copytree
from tempfile import TemporaryDirectory

from spec.decision_mutation import DecisionMutation
from spec.decision_mutations import MUTATIONS

ROOT = Path(__file__).resolve().parent.parent
WORKERS = 6
TIMEOUT_S = 120


def run_comparison(source: Path, part: str) -> str:
    """Run one comparison against a copy of the source and return its outcome."""
    behave = Path(sys.executable).parent / "behave"
    name = f"The {part} take only steps"
    command = [str(behave), "-D", "quick", "-n", name, "features/conformance.feature"]
    environment = {**os.environ, "PYTHONPATH": f"{source}{os.pathsep}{ROOT}"}
    try:
        done = subprocess.run(
            command, cwd=ROOT, env=environment, capture_output=True, timeout=TIMEOUT_S
        )
    except subprocess.TimeoutExpired:
        return "timeout"
    if b"1 scenario passed" in done.stdout:
        return "not caught"
    ran = b"1 failed" in done.stdout or b"1 error" in done.stdout
    return "caught" if ran else "did not run"


def try_mutation(mutation: DecisionMutation) -> str:
    """Apply a mutation to a copy of the source and run its comparison."""
    with TemporaryDirectory() as directory:
        source = Path(directory) / "src"
        copytree(ROOT / "src", source)
        path = source / "jackdawspread" / mutation.path
        text = path.read_text(encoding="utf-8")
        if mutation.old not in text:
            return "line not found"
        path.write_text(text.replace(mutation.old, mutation.new, 1), encoding="utf-8")
        return run_comparison(source, mutation.part)


def table(rows: Iterable[tuple[DecisionMutation, str]]) -> str:
    """Return the outcomes as a Markdown table."""
    lines = ["| comparison | file | line | changed to | outcome |"]
    lines.append("| --- | --- | --- | --- | --- |")
    for mutation, outcome in rows:
        new = mutation.new.strip().partition("\n")[0] or "(removed)"
        cells = (mutation.part, mutation.path, f"`{mutation.old.strip()}`", f"`{new}`")
        lines.append("| " + " | ".join((*cells, outcome)) + " |")
    return "\n".join(lines)


def main() -> int:
    """Run the comparisons on the source as it is, then on each mutation."""
    for part in dict.fromkeys(mutation.part for mutation in MUTATIONS):
        if run_comparison(ROOT / "src", part) != "not caught":
            print(f"the comparison of {part} fails without a mutation")
            return 1
    with ThreadPoolExecutor(WORKERS) as pool:
        outcomes = list(pool.map(try_mutation, MUTATIONS))
    print(table(zip(MUTATIONS, outcomes, strict=True)))
    print(f"{outcomes.count('caught')} of {len(outcomes)} caught")
    return 0 if outcomes.count("caught") == len(outcomes) else 1


if __name__ == "__main__":
    sys.exit(main())
