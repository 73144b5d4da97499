"""Events of the promotion state machine."""

from jackdawspread.decisions.owner.open_answered import OpenAnswered
from jackdawspread.decisions.owner.probe_answered import ProbeAnswered
from jackdawspread.decisions.owner.probe_missed import ProbeMissed
from jackdawspread.decisions.owner.promise_received import PromiseReceived
from jackdawspread.decisions.owner.promotion_tick import PromotionTick
from jackdawspread.decisions.owner.step_unanswered import StepUnanswered
from jackdawspread.messages.owner_assignment import OwnerAssignment
from jackdawspread.messages.term_announcement import TermAnnouncement

PromotionEvent = (
    ProbeAnswered
    | ProbeMissed
    | PromiseReceived
    | OpenAnswered
    | StepUnanswered
    | PromotionTick
    | OwnerAssignment
    | TermAnnouncement
)
