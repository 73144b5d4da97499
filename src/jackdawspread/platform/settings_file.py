"""Settings file of an instance on the users' platform."""

from math import inf
from pathlib import Path

from jackdawspread.codecs.network_address import parse_address
from jackdawspread.settings.instance_resources import InstanceResources
from jackdawspread.settings.session_proxy_settings import SessionProxySettings
from jackdawspread.settings.settings_error import SettingsError

REQUIRED = (
    "NodeName",
    "Ip",
    "Zone",
    "ListenAddrs.Front",
    "ListenAddrs.Ready",
    "platform.Address",
    "CloudApi.Address",
    "InternalPorts",
)
# Numeric settings, which must be positive, with their defaults.
DEFAULT_BY_NAME = {
    "Bounds.DrainMs": 7000.0,
    "Bounds.GraceS": 6.0,
    "Bounds.ConfigApplyMs": 3000.0,
    "Bounds.SkewMaxMs": 12000.0,
    "Limits.MaxFds": 1024.0,
    "Limits.CpuShare": 1.0,
    "Limits.Cores": 1.0,
    "Limits.MemoryMb": 1024.0,
    "Limits.LinkMbps": 1000.0,
}
REGION_PREFIX = "Zones."
# Set only where failure domains can be evacuated.
EVACUATION_LIMIT = "Bounds.EvacuateMs"
# Set by operators of this project, not by the platform.
ADMISSION_BY_PRIORITY = "Admission.ByPriority"
MISSING_LOG_TIMEOUT = "Failover.MissingLogTimeoutS"
BYTES_PER_MB = 1024 * 1024
BYTES_PER_MBIT = 1_000_000 / 8
# A change must be in force within the bound for a caller's next request, so the time to
# learn of it and to refuse is taken off.
MAX_OUTDATED_FRACTION = 0.6
ANY_HOST = "0.0.0.0"
# The deploy file configures this port for the platform's metrics collector.
METRICS_PORT = 9464
# File descriptors reserved for files and for connections to members and the store; the
# others are for callers' sessions.
RESERVED_DESCRIPTORS = 500


def read_platform_settings(path: Path) -> SessionProxySettings | list[SettingsError]:
    """Read a settings file; return its settings or all errors in it."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return [SettingsError(str(path), "", "", str(error), "a text file")]
    return parse_platform_settings(text, str(path))


def parse_platform_settings(
    text: str, file: str
) -> SessionProxySettings | list[SettingsError]:
    """Parse the lines ``name=value`` of a settings file; unknown names are ignored."""
    pairs = (line.partition("=") for line in text.splitlines() if "=" in line)
    value_by_name = {name.strip(): value.strip() for name, _, value in pairs}
    errors = [
        SettingsError(file, "platform", name, "", "a value")
        for name in REQUIRED
        if not value_by_name.get(name)
    ]
    errors += [
        SettingsError(file, "platform", name, value_by_name[name], "IP:port")
        for name in REQUIRED
        if ("Address" in name or "Addrs" in name)
        and value_by_name.get(name)
        and not _is_address(value_by_name[name])
    ]
    number_by_name = {}
    optional = {EVACUATION_LIMIT, MISSING_LOG_TIMEOUT} & value_by_name.keys()
    for name in (*DEFAULT_BY_NAME, *optional):
        text = value_by_name.get(name) or str(DEFAULT_BY_NAME.get(name, ""))
        number = _parse_number(text)
        if number is None:
            accepted = "a positive number"
            errors.append(SettingsError(file, "platform", name, text, accepted))
        else:
            number_by_name[name] = number
    by_priority = value_by_name.get(ADMISSION_BY_PRIORITY, "false")
    if by_priority not in ("true", "false"):
        accepted = "true or false"
        errors.append(
            SettingsError(
                file, "platform", ADMISSION_BY_PRIORITY, by_priority, accepted
            )
        )
    port = value_by_name.get("InternalPorts", "").split(",")[0]
    if port and not (
        _is_address(f"{ANY_HOST}:{port}") and _is_address(f"{ANY_HOST}:{int(port) + 1}")
    ):
        errors.append(SettingsError(file, "platform", "InternalPorts", port, "a port"))
    if errors:
        return errors
    return _build(value_by_name, number_by_name)


def _build(
    value_by_name: dict[str, str], number_by_name: dict[str, float]
) -> SessionProxySettings:
    apply_ms = min(
        number_by_name["Bounds.ConfigApplyMs"],
        number_by_name.get(EVACUATION_LIMIT, inf),
    )
    skew_ms = number_by_name["Bounds.SkewMaxMs"]
    port = value_by_name["InternalPorts"].split(",")[0]
    sessions = int(number_by_name["Limits.MaxFds"]) - RESERVED_DESCRIPTORS
    return SessionProxySettings(
        instance=value_by_name["NodeName"],
        failure_domain=value_by_name["Zone"],
        session_address=value_by_name["ListenAddrs.Front"],
        readiness_address=value_by_name["ListenAddrs.Ready"],
        store_address=value_by_name["platform.Address"],
        promotion_address=value_by_name["CloudApi.Address"],
        ip=value_by_name["Ip"],
        metrics_address=f"{value_by_name['Ip']}:{METRICS_PORT}",
        peer_address=f"{value_by_name['Ip']}:{port}",
        copy_address=f"{value_by_name['Ip']}:{int(port) + 1}",
        is_first_start=value_by_name.get("Bootstrap") == "true",
        drain_s=number_by_name["Bounds.DrainMs"] / 1000,
        grace_s=number_by_name["Bounds.GraceS"],
        # A change must take effect within this time after its acceptance, even while
        # the store can't be read.
        max_configuration_age_s=(apply_ms + skew_ms) / 1000,
        max_outdated_s=MAX_OUTDATED_FRACTION * apply_ms / 1000,
        max_sessions=max(64, sessions),
        region_by_domain={
            name.removeprefix(REGION_PREFIX): region
            for name, region in value_by_name.items()
            if name.startswith(REGION_PREFIX)
        },
        resources=_resources(number_by_name),
        evacuation_s=number_by_name.get(EVACUATION_LIMIT, 0.0) / 1000,
        admits_by_priority=value_by_name.get(ADMISSION_BY_PRIORITY) == "true",
        missing_log_timeout_s=number_by_name.get(MISSING_LOG_TIMEOUT, inf),
    )


def _resources(number_by_name: dict[str, float]) -> InstanceResources:
    return InstanceResources(
        cores=number_by_name["Limits.CpuShare"] * number_by_name["Limits.Cores"],
        memory_bytes=number_by_name["Limits.MemoryMb"] * BYTES_PER_MB,
        descriptors=number_by_name["Limits.MaxFds"],
        link_bytes_per_s=number_by_name["Limits.LinkMbps"] * BYTES_PER_MBIT,
    )


def _is_address(text: str) -> bool:
    try:
        parse_address(text)
    except ValueError:
        return False
    return True


def _parse_number(text: str) -> float | None:
    try:
        number = float(text)
    except ValueError:
        return None
    return number if 0 < number < float("inf") else None
