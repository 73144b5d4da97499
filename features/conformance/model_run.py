"""State of a model that runs side by side with the real decisions."""

from collections.abc import Callable, Iterable
from typing import Any

Action = Callable[[Any, Any], Iterable[tuple[str, Any]]]


class ModelRun:
    """Holds a model's state and takes its named steps."""

    def __init__(self, state: Any, rules: Any) -> None:
        self.state, self.rules = state, rules

    def try_step(self, action: Action, name: str) -> bool:
        """Take a step if the model allows it; return whether it does."""
        for found, after in action(self.state, self.rules):
            if found == name:
                self.state = after
                return True
        return False
