"""All models of the specification."""

from typing import Any

from spec.acknowledgement.late_entry import MODEL_LATE_ENTRY, MODEL_LATE_ENTRY_COMMITS
from spec.acknowledgement.late_entry_recovery import MODEL_LATE_ENTRY_RECOVERY
from spec.acknowledgement.model import MODEL as ACKNOWLEDGEMENT
from spec.acknowledgement.model import MODEL_INSTANCES, MODEL_JOIN
from spec.acknowledgement.outage import MODEL_OUTAGE
from spec.acknowledgement.recovery import MODEL_RECOVERY
from spec.acknowledgement.restart import MODEL_RESTART, MODEL_RESTART_COMMITS
from spec.binding.model import MODEL as BINDING
from spec.configuration.model import MODEL as CONFIGURATION
from spec.copies.model import MODEL as COPIES
from spec.evidence.model import MODEL as EVIDENCE
from spec.model import Model
from spec.promotion.model import MODEL as PROMOTION
from spec.promotion.model import MODEL_FOUR_TERMS
from spec.rates.model import MODEL as RATES
from spec.recovery_model import RecoveryModel
from spec.session.model import MODEL as SESSION
from spec.succession.model import MODEL as SUCCESSION
from spec.succession.model import MODEL_CLAIM, MODEL_DEMOTION
from spec.view.model import MODEL as VIEW
from spec.view.model import MODEL_JOIN_REMOVE, MODEL_JOIN_THREE
from spec.withdrawal.model import MODEL as WITHDRAWAL

MODELS: tuple[Model[Any, Any] | RecoveryModel[Any, Any], ...] = (
    PROMOTION,
    MODEL_FOUR_TERMS,
    BINDING,
    SESSION,
    VIEW,
    MODEL_JOIN_REMOVE,
    MODEL_JOIN_THREE,
    WITHDRAWAL,
    RATES,
    CONFIGURATION,
    SUCCESSION,
    MODEL_DEMOTION,
    MODEL_CLAIM,
    EVIDENCE,
    COPIES,
    ACKNOWLEDGEMENT,
    MODEL_JOIN,
    MODEL_INSTANCES,
    MODEL_RECOVERY,
    MODEL_LATE_ENTRY,
    MODEL_LATE_ENTRY_COMMITS,
    MODEL_LATE_ENTRY_RECOVERY,
    MODEL_OUTAGE,
    MODEL_RESTART,
    MODEL_RESTART_COMMITS,
)
