"""Steps that compare the decisions with the models of the specification."""

from behave import then
from behave.runner import Context
from features.conformance import acknowledgement_statuses, acknowledgement_views
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


@then("the decision on each of {count:d} views of a group is that of the model")
def decisions_agree(context: Context, count: int) -> None:
    """Compare the rule for a commit."""
    compared = 0
    for state, instance in acknowledgement_views.all_views():
        found = acknowledgement_views.decide(state, instance)
        expected = acknowledgement_views.expect(state, instance)
        # Results without fields are equal to each other whatever their types are.
        is_equal = type(found) is type(expected) and found == expected
        assert is_equal, (found, expected, instance, state.roster)
        compared += 1
    assert compared == count, compared


@then("the statuses in {count:d} reachable states show a commit as in the model")
def statuses_agree(context: Context, count: int) -> None:
    """Compare the reading of statuses; both answers have to occur for each role."""
    answers = set()
    for state, instance, member in acknowledgement_statuses.reachable_commits(count):
        found = acknowledgement_statuses.decide(state, instance, member)
        expected = acknowledgement_statuses.expect(state, instance, member)
        assert found == expected, (found, expected, member, state)
        answers.add((member == instance.member, found))
    assert len(answers) == 4, answers
