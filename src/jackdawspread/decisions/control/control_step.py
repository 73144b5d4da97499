"""Result of one control decision: the next state and its effects."""

from jackdawspread.decisions.control.control_state import ControlState
from jackdawspread.messages.admin_result import AdminResult
from jackdawspread.messages.control_log import ControlLog
from jackdawspread.messages.platform_call import PlatformCall
from jackdawspread.messages.send_peer_message import SendPeerMessage
from jackdawspread.messages.term_announcement import TermAnnouncement

Effect = SendPeerMessage | PlatformCall | AdminResult | TermAnnouncement | ControlLog
ControlStep = tuple[ControlState, tuple[Effect, ...]]
