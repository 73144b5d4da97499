"""All models of the specification."""

from spec.binding.model import MODEL as BINDING
from spec.configuration.model import MODEL as CONFIGURATION
from spec.promotion.model import MODEL as PROMOTION
from spec.rates.model import MODEL as RATES
from spec.session.model import MODEL as SESSION
from spec.view.model import MODEL as VIEW
from spec.withdrawal.model import MODEL as WITHDRAWAL

MODELS = (PROMOTION, BINDING, SESSION, VIEW, WITHDRAWAL, RATES, CONFIGURATION)
