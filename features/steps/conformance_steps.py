"""Steps that compare the decisions with the models of the specification."""

from behave import then
from behave.runner import Context
from features.conformance.binding_machine import BindingMachine
from features.conformance.promotion_machine import PromotionMachine
from features.conformance.rate_machine import RateMachine
from features.conformance.session_machine import SessionMachine
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import run_state_machine_as_test

# Without a seed, Hypothesis derives the runs from the source text of the machine, and
# a rename can lose the run that detects a change in spec/decision_mutations.py.
SEED = 2
MACHINES = {
    "promotions": PromotionMachine,
    "binding writes": BindingMachine,
    "sessions": SessionMachine,
    "rates": RateMachine,
}


@then("{count:d} runs of {steps:d} steps of the {name} agree with the model")
def agree(context: Context, count: int, steps: int, name: str) -> None:
    """Run the decisions and the model side by side."""
    # The script that mutates decisions does not need a minimal example.
    is_quick = "quick" in context.config.userdata
    phases = [Phase.generate] + [Phase.shrink] * (not is_quick)
    bounds = settings(
        phases=phases,
        max_examples=count,
        stateful_step_count=steps,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    run_state_machine_as_test(seed(SEED)(MACHINES[name]), settings=bounds)
