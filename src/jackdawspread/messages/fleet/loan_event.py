"""Events that the loans task handles."""

from jackdawspread.messages.fleet.borrow_tokens import BorrowTokens
from jackdawspread.messages.fleet.peers_seen import PeersSeen

LoanEvent = BorrowTokens | PeersSeen
