"""Steps for failures in the support of the tests."""

from contextlib import redirect_stdout
from io import StringIO
from pathlib import Path
from tempfile import TemporaryDirectory

from behave import given, then, when
from behave.runner import Context
from features.support.failed_task_error import FailedTaskError
from features.support.free_ports import free_ports
from features.support.trio_thread import TrioThread
from scripts.run_checks import BIN, run_step
from trio import sleep, sleep_forever

IP = "127.0.77.1"
FEATURE = """Feature: An error
  Scenario: In a step
    Given an error
"""
STEPS = """from behave import given


@given("an error")
def error(context):
    raise BaseException("not handled")
"""
ENVIRONMENT = """import sys

sys.path.insert(0, {root!r})

from features.environment import before_all
"""
ROOT = Path(__file__).resolve().parents[2]


@given("an event loop in a thread")
def thread(context: Context) -> None:
    """Each scenario ends it."""
    context.thread = TrioThread(real_time=True)


@when("one of its tasks ends by an error while a call is in progress")
def fail_in_call(context: Context) -> None:
    """The call itself would last for ever."""

    async def fail() -> None:
        await sleep(0)
        raise ValueError("cause")

    context.thread.start(fail)
    context.error = _failure(context.thread.call, sleep_forever)


@when("one of its tasks ends by an error once it is cancelled")
def fail_when_cancelled(context: Context) -> None:
    """The end of the thread cancels it."""

    async def fail() -> None:
        try:
            await sleep_forever()
        finally:
            raise ValueError("cause")

    context.thread.start(fail)
    context.thread.call(sleep, 0)


@then("the call fails with that error as its cause")
def call_fails(context: Context) -> None:
    """The error of the task is in a group."""
    _check(context.error)


@then("further calls and the end of the thread fail in the same way")
def further_calls_fail(context: Context) -> None:
    """The event loop has ended."""
    _check(_failure(context.thread.call, sleep, 0))
    _check(_failure(context.thread.stop))


@then("the end of the thread fails with that error as its cause")
def stop_fails(context: Context) -> None:
    """Stop it, as the cleanup of a scenario does."""
    _check(_failure(context.thread.stop))


def _failure(function, *args) -> BaseException | None:
    try:
        function(*args)
    except BaseException as error:
        return error
    return None


def _check(error: BaseException | None) -> None:
    assert isinstance(error, FailedTaskError), repr(error)
    group = error.__cause__
    assert isinstance(group, ExceptionGroup), repr(group)
    assert group.subgroup(ValueError), repr(group)


@given("a feature whose step raises an error that behave does not handle")
def failing_feature(context: Context) -> None:
    """Write it with the hooks of the features."""
    folder = TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = Path(folder.name)
    (context.folder / "steps").mkdir()
    (context.folder / "steps" / "steps.py").write_text(STEPS)
    (context.folder / "environment.py").write_text(ENVIRONMENT.format(root=str(ROOT)))
    (context.folder / "error.feature").write_text(FEATURE)


@when("the script of the checks runs it")
def run_script(context: Context) -> None:
    """Run it as one step of the script."""
    with redirect_stdout(StringIO()) as output:
        command = [str(BIN / "behave"), str(context.folder)]
        context.counts = run_step("features", command)
    context.lines = output.getvalue().split("\n")


@then("the step counts as failed, and the output ends with the traceback")
def ends_with_traceback(context: Context) -> None:
    """The exit status follows."""
    assert context.counts == (0, 1), context.counts
    lines = [line for line in context.lines if line]
    assert lines[-2:] == ["BaseException: not handled", "features: exit status 1"], (
        lines
    )
    assert "Traceback (most recent call last):" in lines, lines


@when("{count:d} free ports are chosen")
def choose_ports(context: Context, count: int) -> None:
    """Choose them as the stand-ins do."""
    context.ports = free_ports(IP, count)


@then("all of them and the ports after them are different")
def all_different(context: Context) -> None:
    """No two instances or tasks listen on the same port."""
    ports = {*context.ports, *(port + 1 for port in context.ports)}
    assert len(ports) == 2 * len(context.ports), sorted(context.ports)
