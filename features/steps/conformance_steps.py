"""Steps that bind the decisions to the specification."""

from behave import then
from behave.runner import Context
from features.conformance.rate_machine import RateMachine
from hypothesis import HealthCheck, settings
from hypothesis.stateful import run_state_machine_as_test

MACHINES = {"rates": RateMachine}


@then("{count:d} runs of {steps:d} steps of the {name} agree with the model")
def agree(context: Context, count: int, steps: int, name: str) -> None:
    """Run the decisions and the model side by side."""
    bounds = settings(
        max_examples=count,
        stateful_step_count=steps,
        derandomize=True,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    run_state_machine_as_test(MACHINES[name], settings=bounds)
