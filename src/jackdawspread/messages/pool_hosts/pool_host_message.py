"""Messages on the stream between an instance and a pool host."""

from jackdawspread.messages.pool_hosts.exchange_answered import ExchangeAnswered
from jackdawspread.messages.pool_hosts.exchange_failed import ExchangeFailed
from jackdawspread.messages.pool_hosts.exchange_requested import ExchangeRequested
from jackdawspread.messages.pool_hosts.host_draining import HostDraining
from jackdawspread.messages.pool_hosts.lease_granted import LeaseGranted
from jackdawspread.messages.pool_hosts.lease_refused import LeaseRefused
from jackdawspread.messages.pool_hosts.lease_released import LeaseReleased
from jackdawspread.messages.pool_hosts.lease_requested import LeaseRequested
from jackdawspread.messages.pool_hosts.link_probe import LinkProbe
from jackdawspread.messages.pool_hosts.primary_confirmed import PrimaryConfirmed
from jackdawspread.messages.pool_hosts.write_stalled import WriteStalled

PoolHostMessage = (
    LeaseRequested
    | LeaseGranted
    | LeaseRefused
    | LeaseReleased
    | ExchangeRequested
    | ExchangeAnswered
    | ExchangeFailed
    | PrimaryConfirmed
    | WriteStalled
    | LinkProbe
    | HostDraining
)
