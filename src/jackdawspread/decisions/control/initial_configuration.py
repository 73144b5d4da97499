"""Initial configuration, stored if the platform holds none."""

from jackdawspread.messages.configuration_document import ConfigurationDocument
from jackdawspread.messages.preset_document import PresetDocument

# The peak preset has shorter queues and fewer retries, because queued work is the
# first thing that grows in an overload. The maintenance preset refuses writes.
ORDINARY = PresetDocument(
    queue_limit=200,
    queue_wait_ms=2_000,
    replica_reads=True,
    retry_percent=10,
    writes_allowed=True,
)
PEAK = PresetDocument(
    queue_limit=100,
    queue_wait_ms=1_000,
    replica_reads=True,
    retry_percent=5,
    writes_allowed=True,
)
MAINTENANCE = PresetDocument(
    queue_limit=50,
    queue_wait_ms=1_000,
    replica_reads=True,
    retry_percent=5,
    writes_allowed=False,
)


def initial_configuration() -> ConfigurationDocument:
    """Return the configuration of a new deployment, with version 0."""
    return ConfigurationDocument(
        version=0,
        write_id="",
        preset="ordinary",
        preset_by_name={
            "ordinary": ORDINARY,
            "peak": PEAK,
            "maintenance": MAINTENANCE,
        },
        head_office={
            "default": {"rate": 50.0, "burst": 100, "weight": 1.0},
            "lowest": {"rate": 1.0, "burst": 1, "weight": 0.1},
            "highest": {"rate": 1_000.0, "burst": 2_000, "weight": 10.0},
        },
        workspace_by_name={},
        key_by_id={},
        leaving_databases=[],
    )
