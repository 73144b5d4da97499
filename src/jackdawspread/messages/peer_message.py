"""Messages between instances, apart from routed requests."""

from jackdawspread.messages.configuration_push import ConfigurationPush
from jackdawspread.messages.heartbeat import Heartbeat
from jackdawspread.messages.heartbeat_answer import HeartbeatAnswer
from jackdawspread.messages.key_withdrawal import KeyWithdrawal
from jackdawspread.messages.key_withdrawal_answer import KeyWithdrawalAnswer
from jackdawspread.messages.leaving import Leaving
from jackdawspread.messages.seat_confirmation import SeatConfirmation
from jackdawspread.messages.spend_grant import SpendGrant
from jackdawspread.messages.spend_request import SpendRequest
from jackdawspread.messages.term_announcement import TermAnnouncement
from jackdawspread.messages.view_change_promise import ViewChangePromise
from jackdawspread.messages.view_change_request import ViewChangeRequest

PeerMessage = (
    Heartbeat
    | HeartbeatAnswer
    | ViewChangeRequest
    | ViewChangePromise
    | ConfigurationPush
    | KeyWithdrawal
    | KeyWithdrawalAnswer
    | TermAnnouncement
    | SpendRequest
    | SpendGrant
    | Leaving
    | SeatConfirmation
)
