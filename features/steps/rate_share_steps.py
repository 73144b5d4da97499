"""Steps for the shares of an instance in the rates of workspaces."""

from behave import given, then, when
from behave.runner import Context
from trio import open_memory_channel

from jackdawspread.decisions.control.initial_configuration import initial_configuration
from jackdawspread.messages.control_snapshot import ControlSnapshot
from jackdawspread.messages.view import View
from jackdawspread.messages.view_member import ViewMember
from jackdawspread.messages.workspace_document import WorkspaceDocument
from jackdawspread.tasks.workspace_rate_limiters import WorkspaceRateLimiters

OLD = View(1, {"i2": ViewMember("127.0.0.1:2", "z2")})
NEW = View(2, {"i1": ViewMember("127.0.0.1:1", "z1")})


def _use_views(context: Context, views: tuple[View, ...], now: float) -> None:
    configuration = initial_configuration()
    limits = {"rate": 10.0, "burst": 5}
    workspace = WorkspaceDocument(overrides=limits, databases=[])
    configuration["workspace_by_name"] = {"w1": workspace}
    snapshot = ControlSnapshot("i1", 100.0, configuration, frozenset(), views, {})
    context.limits.use_snapshot(snapshot, now)


def _start(context: Context, views: tuple[View, ...]) -> None:
    context.admitted = []
    peer_client, context.peer_client_inbox = open_memory_channel(10)
    admit, refuse = context.admitted.append, lambda id: None
    context.limits = WorkspaceRateLimiters("127.0.0.1:1", peer_client, admit, refuse)
    _use_views(context, views, 0.0)


def _send_requests(context: Context, now: float) -> None:
    for number in range(5):
        context.limits.request("w1", f"r{number}", now + 5, now)


@given("an instance alone in its view, with a rate of 10/s and a burst of 5")
def alone(context: Context) -> None:
    """Start with a settled view."""
    _start(context, (NEW,))


@given("an instance that is new in its view, with a rate of 10/s and a burst of 5")
def joining(context: Context) -> None:
    """Start while the view with the instance is not settled yet."""
    _start(context, (OLD, NEW))


@when("5 requests arrive 1 s after the instance received the workspace")
def arrive(context: Context) -> None:
    """Send five requests."""
    _send_requests(context, 1.0)


@when("the view is settled after 3 s and 5 requests arrive")
def settled(context: Context) -> None:
    """Settle the view and send five requests at the same time."""
    _use_views(context, (NEW,), 3.0)
    _send_requests(context, 3.0)


@then("{number:d} requests are admitted at once")
def admitted(context: Context, number: int) -> None:
    """Count the admissions."""
    assert len(context.admitted) == number, context.admitted
