"""Shows that the features of the promises fail without their mechanisms.

Each proof changes one line in a copy of the source and runs one scenario, which
must pass on the source as it is and fail on the copy. Run with
``python -m scripts.prove_promises [PROMISE]``; the last line counts the proofs.
"""

import shutil
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from os import environ
from pathlib import Path
from tempfile import TemporaryDirectory

from scripts.proofs.catalogue import PROOFS
from scripts.proofs.proof import Proof

ROOT = Path(__file__).resolve().parent.parent
COPIED = ("src", "features", "spec", "bench", "scripts")
PROCESSES = 4
# A change can make a scenario wait for ever; that also shows that it is noticed.
SCENARIO_S = 90


def passes(tree: Path, proof: Proof) -> bool:
    """Run the proof's scenario on a tree and return whether it passed."""
    behave = Path(sys.executable).parent / "behave"
    command = [str(behave), "--no-summary", "-n", proof.scenario]
    command.append(f"features/{proof.feature}")
    path = f"{tree / 'src'}:{tree}"
    try:
        done = subprocess.run(
            command,
            cwd=tree,
            env={**environ, "PYTHONPATH": path},
            capture_output=True,
            timeout=SCENARIO_S,
        )
    except subprocess.TimeoutExpired:
        return False
    return done.returncode == 0


def prove(proof: Proof) -> str:
    """Return the verdict on one proof."""
    if not passes(ROOT, proof):
        return "fails as it is"
    with TemporaryDirectory() as folder:
        tree = Path(folder)
        for name in COPIED:
            ignored = shutil.ignore_patterns("__pycache__", "results")
            shutil.copytree(ROOT / name, tree / name, ignore=ignored)
        path = tree / "src" / "jackdawspread" / proof.path
        text = path.read_text(encoding="utf-8")
        if text.count(proof.before) != 1:
            return "cannot be changed"
        path.write_text(text.replace(proof.before, proof.after), encoding="utf-8")
        return "not noticed" if passes(tree, proof) else "noticed"


def main(names: list[str]) -> int:
    """Run the proofs of the named promises, or all."""
    proofs = [proof for proof in PROOFS if not names or proof.promise in names]
    with ThreadPoolExecutor(PROCESSES) as pool:
        verdicts = list(pool.map(prove, proofs))
    for proof, verdict in zip(proofs, verdicts, strict=True):
        print(f"{verdict:18} {proof.promise}: without {proof.without}")
    passed = verdicts.count("noticed")
    print(f"{passed} passed, {len(verdicts) - passed} failed")
    return 0 if passed == len(verdicts) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
