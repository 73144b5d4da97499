"""Steps for signals that reach a process while it starts."""

import signal
import subprocess
import sys
from pathlib import Path
from tempfile import TemporaryDirectory

from behave import given, then, when
from behave.runner import Context

ROOT = Path(__file__).resolve().parents[2]
TIMEOUT_S = 20.0
# Stands for the packages whose import takes long.
SLOW_IMPORT = "import time\nprint('importing', flush=True)\ntime.sleep(60)\n"


@given("a process of the deploy file that has begun its imports")
def importing(context: Context) -> None:
    """Start it with a package whose import does not end."""
    folder = TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    package = Path(folder.name) / "jackdawspread"
    package.mkdir()
    (package / "__init__.py").write_text(SLOW_IMPORT, encoding="utf-8")
    context.process = subprocess.Popen(
        [sys.executable, "-S", "deploy/instance.py"],
        cwd=ROOT,
        env={"PYTHONPATH": folder.name},
        stdout=subprocess.PIPE,
        text=True,
    )
    context.add_cleanup(context.process.kill)
    assert context.process.stdout.readline() == "importing\n"


@when("it receives {signals}")
def receives(context: Context, signals: str) -> None:
    """Send the signals one after the other."""
    for name in signals.split(", "):
        context.process.send_signal(signal.Signals[name])


@then("it ends with the exit status 0")
def ends(context: Context) -> None:
    """The status is that of a process that has stopped as asked."""
    assert context.process.wait(TIMEOUT_S) == 0, context.process.returncode
