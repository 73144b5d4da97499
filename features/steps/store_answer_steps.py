"""Steps for answers of the store that name a row several times."""

from time import monotonic, sleep

from behave import then, when
from behave.runner import Context
from features.support.log_lines import collect_log_lines

# The instance calls the store again within this time.
ANSWER_TIMEOUT_S = 10.0
LOG_PREFIX = "configuration: several versions"


@when("the store answers nobody while {count:d} versions are published")
def published(context: Context, count: int) -> None:
    """Publish versions while the requests of the instance wait."""

    async def set_silent(is_silent: bool) -> None:
        context.platform.store.set_silent(is_silent)

    with collect_log_lines() as lines:
        context.platform.call(set_silent, True)
        for _ in range(count):
            context.platform.publish()
        context.platform.call(set_silent, False)
        deadline = monotonic() + ANSWER_TIMEOUT_S
        while not any(LOG_PREFIX in line for line in lines):
            assert monotonic() < deadline, "not logged"
            sleep(0.02)
    context.log_line = next(line for line in lines if LOG_PREFIX in line)


@then("a line of the log names the {count:d} versions and the chosen one")
def logged(context: Context, count: int) -> None:
    """Decode the fields of the line."""
    fields = dict(
        field.split("=") for field in context.log_line.split() if "=" in field
    )
    assert len(fields["row_versions"].split(",")) == count, context.log_line
    assert int(fields["chosen"]) > 0, context.log_line
