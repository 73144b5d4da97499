"""Settings of an entry instance."""

from typing import NamedTuple

from jackdawspread.settings.database_settings import DatabaseSettings
from jackdawspread.settings.experiment_settings import ExperimentSettings

DEFAULT_MEMORY_MB = 1024
DEFAULT_MAX_CONNECTIONS = 4000


class InstanceSettings(NamedTuple):
    """Validated settings of an entry instance.

    Parameters
    ----------
    caller_address : str
        ``IP:port`` on which the instance serves callers.
    admin_address : str
        ``IP:port`` of the administration API.
    peer_address : str
        ``IP:port`` to which other instances connect.
    failure_domain : str
        Failure domain in which the instance runs.
    drain_ms : int
        Milliseconds during which a stopping instance still accepts callers.
    platform_address : str
        ``IP:port`` of the platform's table service.
    platform_timeout_ms : int
        Timeout of one call to the platform, in milliseconds.
    session_secret : str
        Secret that signs session tokens; it is the same on all instances.
    operator_key_hash : str
        SHA-256 of the operator's credential, in hexadecimal.
    database_by_name : dict of str to DatabaseSettings
        Databases by name.
    memory_mb : int
        Memory that the process may use, in MiB.
    max_connections : int
        Connections of callers that are open at the same time.
    experiment : ExperimentSettings
        Policies that are varied in experiments.
    """

    caller_address: str
    admin_address: str
    peer_address: str
    failure_domain: str
    drain_ms: int
    platform_address: str
    platform_timeout_ms: int
    session_secret: str
    operator_key_hash: str
    database_by_name: dict[str, DatabaseSettings]
    memory_mb: int = DEFAULT_MEMORY_MB
    max_connections: int = DEFAULT_MAX_CONNECTIONS
    experiment: ExperimentSettings = ExperimentSettings()
