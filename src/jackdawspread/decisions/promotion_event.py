"""Events of the promotion state machine."""

from jackdawspread.decisions.open_answered import OpenAnswered
from jackdawspread.decisions.probe_answered import ProbeAnswered
from jackdawspread.decisions.probe_missed import ProbeMissed
from jackdawspread.decisions.promise_received import PromiseReceived
from jackdawspread.decisions.step_lost import StepLost
from jackdawspread.decisions.time_passed import TimePassed
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
