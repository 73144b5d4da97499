"""Settings of an instance that serves sessions of callers."""

from math import inf
from typing import NamedTuple

from jackdawspread.settings.instance_resources import InstanceResources

# Below this delay the connections that more hosts need cost callers more than the
# messages between failure domains.
CROSSING_DELAY_LIMIT_S = 0.003


class SessionProxySettings(NamedTuple):
    """Addresses, failure domain and limits of an instance that serves sessions.

    Parameters
    ----------
    instance : str
        Name of the instance, unique in the fleet.
    failure_domain : str
        Failure domain in which the instance runs.
    session_address : str
        ``IP:port`` on which callers connect.
    readiness_address : str
        ``IP:port`` on which the load balancer checks whether the instance is ready.
    store_address : str
        ``IP:port`` of the store.
    promotion_address : str
        ``IP:port`` of the service that promotes members.
    ip : str
        IP address of the machine.
    metrics_address : str
        ``IP:port`` on which metrics are served.
    peer_address : str
        ``IP:port`` for datagrams between instances; all instances use the same port.
    copy_address : str
        ``IP:port`` on which other instances get copies of the configuration; all
        instances use the same port.
    is_first_start : bool
        Whether the whole fleet starts for the first time, so that no instance has
        registered yet.
    drain_s : float
        Seconds after which a leaving member receives no new work.
    grace_s : float
        Seconds from the request to stop until the process is killed.
    max_configuration_age_s : float
        Age of the configuration, in seconds, from which operations are refused.
    max_outdated_s : float
        Time in seconds for which a configuration is used although a newer one is known
        to exist.
    max_sessions : int
        Maximum number of open sessions.
    region_by_domain : dict
        Region of each failure domain.
    resources : InstanceResources
        Limits of the machine.
    evacuation_s : float
        Seconds after which an evacuated failure domain receives no more work; 0 if the
        platform has no evacuations.
    admits_by_priority : bool
        Whether statements compete for members by the priority of their route.
    missing_log_timeout_s : float
        Time in seconds after which a member is promoted without the logs of members
        that are gone; infinite if never, as commits may be lost.
    crossing_delay_limit_s : float
        Delay in seconds, one way, from which messages between failure domains are
        avoided.
    """

    instance: str
    failure_domain: str
    session_address: str
    readiness_address: str
    store_address: str
    promotion_address: str
    ip: str
    metrics_address: str
    peer_address: str
    copy_address: str
    is_first_start: bool
    drain_s: float
    grace_s: float
    max_configuration_age_s: float
    max_outdated_s: float
    max_sessions: int
    region_by_domain: dict[str, str] = {}
    resources: InstanceResources = InstanceResources()
    evacuation_s: float = 0.0
    admits_by_priority: bool = False
    missing_log_timeout_s: float = inf
    crossing_delay_limit_s: float = CROSSING_DELAY_LIMIT_S
