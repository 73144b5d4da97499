"""Check of a model as designed, or of a mutant of it."""

from typing import Any, NamedTuple

from spec.model import Model
from spec.mutant import Mutant
from spec.recovery_model import RecoveryModel


class Check(NamedTuple):
    """A model and, if it has to be refuted, the mutant of its rules."""

    model: Model[Any, Any] | RecoveryModel[Any, Any]
    mutant: Mutant[Any] | None
