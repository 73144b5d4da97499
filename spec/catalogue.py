"""All models of the specification."""

from spec.binding.model import MODEL as BINDING
from spec.promotion.model import MODEL as PROMOTION
from spec.session.model import MODEL as SESSION
from spec.view.model import MODEL as VIEW

MODELS = (PROMOTION, BINDING, SESSION, VIEW)
