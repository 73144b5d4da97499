"""Settings of an instance that serves callers' sessions."""

from typing import NamedTuple


class SessionProxySettings(NamedTuple):
    """Addresses, place and bounds of an instance.

    Parameters
    ----------
    instance : str
        Name of the instance, unique in the fleet.
    failure_domain : str
        Failure domain in which it runs.
    session_address : str
        ``IP:port`` on which callers connect.
    readiness_address : str
        ``IP:port`` on which the balancer asks whether the instance is ready.
    store_address : str
        ``IP:port`` of the store.
    promotion_address : str
        ``IP:port`` of the service that promotes members.
    ip : str
        Address of the machine.
    metrics_address : str
        ``IP:port`` on which metrics are served.
    peer_address : str
        ``IP:port`` for datagrams between instances; the port is the same everywhere.
    drain_s : float
        Time after which a leaving member gets nothing new.
    grace_s : float
        Time from the order to stop until the process is killed.
    max_configuration_age_s : float
        Age of the configuration from which operations are refused.
    max_sessions : int
        Sessions that may be open at a time.
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
    drain_s: float
    grace_s: float
    max_configuration_age_s: float
    max_sessions: int
