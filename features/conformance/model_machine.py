"""State machine that runs a model side by side with the real decisions."""

from collections.abc import Callable
from typing import Any

from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test


class ModelMachine(RuleBasedStateMachine):
    """Holds a model's state; a subclass sets `model_rules` and the initial `model`."""

    model_rules: Any
    model: Any

    def step(self, action: Callable[..., Any], arguments: str) -> None:
        """Take a step of the model, which must be enabled."""
        found = self.enabled(action, arguments)
        assert found, f"{action.__name__} {arguments} is not enabled"
        self.model = found[0]

    def try_step(self, action: Callable[..., Any], arguments: str) -> None:
        """Take a step of the model if it is enabled."""
        for after in self.enabled(action, arguments)[:1]:
            self.model = after

    def enabled(self, action: Callable[..., Any], arguments: str) -> list[Any]:
        """Return the states that a step with these arguments leads to."""
        steps = action(self.model, self.model_rules)
        return [after for name, after in steps if name == arguments]


def check_conformance(machine: type[ModelMachine]) -> None:
    """Run a state machine with a fixed seed."""
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=300,
            stateful_step_count=40,
            deadline=None,
            database=None,
            derandomize=True,
        ),
    )
