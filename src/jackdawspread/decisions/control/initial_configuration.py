"""First configuration, stored when the platform holds none."""

from jackdawspread.messages.configuration_document import ConfigurationDocument
from jackdawspread.messages.preset_document import PresetDocument

# Peak queues less and retries less, because waiting work is the first thing
# that grows in an overload; maintenance takes no writes.
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
