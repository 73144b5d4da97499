"""Steps for the processes of the bench."""

import os
import signal
import sys
from pathlib import Path
from tempfile import TemporaryDirectory

from behave import then, when
from behave.runner import Context
from trio import run

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from bench.launch.process_set import ProcessSet

SLEEP = (sys.executable, "-c", "import time; time.sleep(60)")
CRASH = (sys.executable, "-c", "raise SystemExit('no reason')")
WAIT_S = 10.0


@when("one process ends by itself and another is killed")
def crash(context: Context) -> None:
    """Start both, and collect what the set calls crashed."""
    with TemporaryDirectory() as path, ProcessSet(Path(path)) as processes:
        processes.start("crashing", CRASH)
        processes.start("killed", SLEEP)
        processes.signal("killed", signal.SIGKILL)
        for name in ("crashing", "killed"):
            assert run(processes.wait, name, WAIT_S), name
        context.crashed = processes.crashed()


@then("only the first one counts as crashed")
def crashed(context: Context) -> None:
    """Check the name and the end of the output."""
    assert context.crashed == {"crashing": "no reason\n"}, context.crashed


@when("a block that started a frozen and a running process ends with an error")
def failing_block(context: Context) -> None:
    """Start two processes, freeze one, and leave the block by an exception."""
    try:
        with TemporaryDirectory() as path, ProcessSet(Path(path)) as processes:
            for name in ("frozen", "running"):
                processes.start(name, SLEEP)
            processes.signal("frozen", signal.SIGSTOP)
            context.pids = [processes.pid(name) for name in ("frozen", "running")]
            raise RuntimeError("stop")
    except RuntimeError:
        return


@then("both processes have ended")
def all_ended(context: Context) -> None:
    """Check that no process has the ids any more."""
    for pid in context.pids:
        try:
            os.kill(pid, 0)
        except ProcessLookupError:
            continue
        raise AssertionError(f"process {pid} still runs")
