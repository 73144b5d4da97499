"""Effects of the promotion state machine."""

from jackdawspread.decisions.primary_suspected import PrimarySuspected
from jackdawspread.decisions.promotion_failed import PromotionFailed
from jackdawspread.decisions.promotion_started import PromotionStarted
from jackdawspread.decisions.send_follow import SendFollow
from jackdawspread.decisions.send_open import SendOpen
from jackdawspread.decisions.send_prepare import SendPrepare
from jackdawspread.decisions.suspicion_cleared import SuspicionCleared
from jackdawspread.decisions.term_in_force import TermInForce

PromotionEffect = (
    SendPrepare
    | SendOpen
    | SendFollow
    | TermInForce
    | PromotionStarted
    | PromotionFailed
    | PrimarySuspected
    | SuspicionCleared
)
