"""Events that the failover task handles."""

from jackdawspread.messages.fleet.failover_trigger import FailoverTrigger
from jackdawspread.messages.fleet.members_seen import MembersSeen

FailoverEvent = MembersSeen | FailoverTrigger
