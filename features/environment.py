"""Hooks for all features, and those that run a fleet for the tag ``fleet``."""

import sys
from pathlib import Path
from traceback import print_exception
from types import TracebackType

from behave.model import Feature, Scenario
from behave.runner import Context

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from bench.runs.process_world import ProcessWorld


def before_all(context: Context) -> None:
    """Print the error that ends behave, which handles no `BaseException`."""
    sys.excepthook = _print_error


def _print_error(
    kind: type[BaseException], error: BaseException, trace: TracebackType | None
) -> None:
    # During a step, sys.stderr is a buffer that behave does not print then.
    print_exception(kind, error, trace, file=sys.__stderr__)


def before_feature(context: Context, feature: Feature) -> None:
    """Start a fleet for a feature with the tag ``fleet``."""
    if "fleet" in feature.tags:
        world = ProcessWorld()
        context.add_cleanup(world.close)
        context.world = world
        world.start()


def before_scenario(context: Context, scenario: Scenario) -> None:
    """Drop the replies of the previous scenario."""
    if "fleet" in scenario.feature.tags:
        context.world.replies.clear()


def after_scenario(context: Context, scenario: Scenario) -> None:
    """End load and faults before the next scenario, also after a failure."""
    is_last = scenario is scenario.feature.walk_scenarios()[-1]
    if "fleet" in scenario.feature.tags and not is_last:
        context.world.recover()
