"""Events about a lease that a pool host has granted."""

from jackdawspread.messages.pool_hosts.lease_released import LeaseReleased
from jackdawspread.messages.pool_hosts.primary_confirmed import PrimaryConfirmed
from jackdawspread.messages.pool_hosts.write_stalled import WriteStalled
from jackdawspread.messages.statements.member_exchange import MemberExchange

LeaseEvent = MemberExchange | LeaseReleased | PrimaryConfirmed | WriteStalled
