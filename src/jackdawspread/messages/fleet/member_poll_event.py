"""Events that the poll of the member list handles."""

from jackdawspread.messages.fleet.members_relayed import MembersRelayed
from jackdawspread.messages.fleet.peers_seen import PeersSeen
from jackdawspread.messages.fleet.refresh_members import RefreshMembers

MemberPollEvent = MembersRelayed | PeersSeen | RefreshMembers
