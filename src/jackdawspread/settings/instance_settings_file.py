"""Reads the settings file of an entry instance."""

from configparser import ConfigParser, SectionProxy
from configparser import Error as IniError
from pathlib import Path

from expression import Error, Ok, Result

from jackdawspread.settings.checks import (
    check_address,
    check_choice,
    check_count,
    check_name,
    check_sha256,
    check_text,
)
from jackdawspread.settings.database_settings import DatabaseSettings
from jackdawspread.settings.experiment_settings import ExperimentSettings
from jackdawspread.settings.instance_settings import (
    DEFAULT_MAX_CONNECTIONS,
    DEFAULT_MEMORY_MB,
    InstanceSettings,
)
from jackdawspread.settings.section_reader import SectionReader
from jackdawspread.settings.settings_error import SettingsError

DATABASE_PREFIX = "database "


def read_instance_settings(path: Path) -> Result[InstanceSettings, list[SettingsError]]:
    """Read and validate a settings file; on failure return every error found."""
    parser = ConfigParser(interpolation=None)
    try:
        with path.open(encoding="utf-8") as file:
            parser.read_file(file)
    except (OSError, UnicodeDecodeError, IniError) as error:
        reason = str(error).replace("\n", " ")
        return Error([SettingsError(str(path), "", "", reason, "a readable INI file")])
    return _build_settings(str(path), parser)


def _build_settings(
    file: str, parser: ConfigParser
) -> Result[InstanceSettings, list[SettingsError]]:
    errors: list[SettingsError] = []

    def section(name: str) -> SectionReader:
        options: SectionProxy | dict[str, str] = (
            parser[name] if parser.has_section(name) else {}
        )
        return SectionReader(file, name, dict(options), errors)

    instance, platform = section("instance"), section("platform")
    secrets, experiment = section("secrets"), section("experiment")
    settings = InstanceSettings(
        caller_address=instance.read("caller_address", check_address),
        admin_address=instance.read("admin_address", check_address),
        peer_address=instance.read("peer_address", check_address),
        failure_domain=instance.read("failure_domain", check_text),
        drain_ms=instance.read("drain_ms", check_count, "3000"),
        memory_mb=instance.read("memory_mb", check_count, str(DEFAULT_MEMORY_MB)),
        max_connections=instance.read(
            "max_connections", check_count, str(DEFAULT_MAX_CONNECTIONS)
        ),
        platform_address=platform.read("address", check_address),
        platform_timeout_ms=platform.read("timeout_ms", check_count, "1000"),
        session_secret=secrets.read("session_secret", check_text),
        operator_key_hash=secrets.read("operator_key_hash", check_sha256),
        database_by_name=_databases(parser, section),
        experiment=_experiment(experiment),
    )
    for reader in (instance, platform, secrets, experiment):
        reader.report_unknown_options()
    errors += _unknown_sections(file, parser)
    return Error(errors) if errors else Ok(settings)


def _experiment(reader: SectionReader) -> ExperimentSettings:
    default = ExperimentSettings()

    def read(option: str, *choices: str) -> str:
        chosen: str = getattr(default, option)
        return reader.read(option, check_choice(*choices), chosen)

    return ExperimentSettings(
        queueing=read("queueing", "fair", "fifo"),
        pooling=read("pooling", "owner", "independent"),
        rates=read("rates", "borrow", "even"),
        preparation=read("preparation", "on", "off"),
        replica_reads=read("replica_reads", "on", "off"),
        retries=read("retries", "budget", "plain"),
    )


def _databases(parser, section) -> dict[str, DatabaseSettings]:  # type: ignore[no-untyped-def]
    by_name = {}
    for title in parser.sections():
        if not title.startswith(DATABASE_PREFIX):
            continue
        name, reader = title.removeprefix(DATABASE_PREFIX), section(title)
        reader.check_title(name, check_name)
        by_name[name] = DatabaseSettings(
            name=name,
            member_addresses=reader.read_list("members", check_address),
            slots=reader.read("slots", check_count),
            connections=reader.read("connections", check_count),
        )
        reader.report_unknown_options()
    return by_name


def _unknown_sections(file: str, parser: ConfigParser) -> list[SettingsError]:
    known = {"instance", "platform", "secrets", "experiment"}
    return [
        SettingsError(
            file,
            title,
            "",
            "",
            "sections instance, platform, secrets, experiment, or 'database NAME'",
        )
        for title in parser.sections()
        if title not in known and not title.startswith(DATABASE_PREFIX)
    ]
