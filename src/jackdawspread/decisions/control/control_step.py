"""Result of one control decision."""

from jackdawspread.decisions.control.control_state import ControlState
from jackdawspread.messages.admin_result import AdminResult
from jackdawspread.messages.control_log import ControlLog
from jackdawspread.messages.peer_send import PeerSend
from jackdawspread.messages.platform_call import PlatformCall
from jackdawspread.messages.term_announcement import TermAnnouncement

Effect = PeerSend | PlatformCall | AdminResult | TermAnnouncement | ControlLog
ControlStep = tuple[ControlState, tuple[Effect, ...]]
