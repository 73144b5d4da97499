"""Events of the promotion state machine."""

from jackdawspread.decisions.owner.open_answered import OpenAnswered
from jackdawspread.decisions.owner.probe_answered import ProbeAnswered
from jackdawspread.decisions.owner.probe_missed import ProbeMissed
from jackdawspread.decisions.owner.promise_received import PromiseReceived
from jackdawspread.decisions.owner.step_lost import StepLost
from jackdawspread.decisions.owner.time_passed import TimePassed
from jackdawspread.messages.seat_assignment import SeatAssignment
from jackdawspread.messages.term_announcement import TermAnnouncement

PromotionEvent = (
    ProbeAnswered
    | ProbeMissed
    | PromiseReceived
    | OpenAnswered
    | StepLost
    | TimePassed
    | SeatAssignment
    | TermAnnouncement
)
