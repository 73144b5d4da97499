"""Events that the stream to a pool host handles."""

from jackdawspread.messages.fleet.connection_request import ConnectionRequest
from jackdawspread.messages.pool_hosts.lease_event import LeaseEvent

HostLinkEvent = ConnectionRequest | LeaseEvent
