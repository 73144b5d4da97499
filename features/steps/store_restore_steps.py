"""Steps for a store that is restored from a copy."""

from behave import given, when
from behave.runner import Context
from trio import sleep

# The store confirms an unchanged configuration to the first instance within this time.
CONFIRMATION_S = 4.0


async def _write_others(context: Context, number: int) -> None:
    for _ in range(number):
        context.platform.store.put("others", "row", b"x")


@given("the store has been copied")
def copied(context: Context) -> None:
    """Copy the rows."""

    async def copy() -> None:
        context.platform.store.copy()

    context.platform.call(copy)


@when("the store is restored")
def restored(context: Context) -> None:
    """Return to the copy, and let the members write their entries again."""

    async def restore() -> None:
        context.platform.store.restore()
        context.platform.group.register()

    context.platform.call(restore)


@when("other rows are written {number:d} times and the configuration is confirmed")
def written_and_confirmed(context: Context, number: int) -> None:
    """Raise the version that the instance knows."""
    context.platform.call(_write_others, context, number)
    context.platform.call(sleep, CONFIRMATION_S)


@when("a caller's key is withdrawn and other rows are written {number:d} times")
def withdrawn_and_written(context: Context, number: int) -> None:
    """Withdraw the key under a version that was given out before."""
    context.caller = context.platform.open()
    context.platform.configuration["Tenants"][0]["ApiKeys"] = []
    context.platform.publish()
    context.platform.call(_write_others, context, number)
