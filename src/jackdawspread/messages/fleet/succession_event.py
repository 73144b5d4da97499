"""Events that the succession task handles."""

from jackdawspread.messages.fleet.members_seen import MembersSeen
from jackdawspread.messages.fleet.primary_suspected import PrimarySuspected

SuccessionEvent = MembersSeen | PrimarySuspected
