"""Effects of the promotion state machine."""

from jackdawspread.decisions.owner.primary_suspected import PrimarySuspected
from jackdawspread.decisions.owner.promotion_failed import PromotionFailed
from jackdawspread.decisions.owner.promotion_started import PromotionStarted
from jackdawspread.decisions.owner.send_follow import SendFollow
from jackdawspread.decisions.owner.send_open import SendOpen
from jackdawspread.decisions.owner.send_prepare import SendPrepare
from jackdawspread.decisions.owner.suspicion_cleared import SuspicionCleared
from jackdawspread.decisions.owner.term_started import TermStarted

PromotionEffect = (
    SendPrepare
    | SendOpen
    | SendFollow
    | TermStarted
    | PromotionStarted
    | PromotionFailed
    | PrimarySuspected
    | SuspicionCleared
)
