"""Runs an instance on the users' platform."""

import signal
import sys
from collections.abc import AsyncIterator
from os import environ
from pathlib import Path

from absl import logging
from trio import Event, open_nursery, open_signal_receiver, run

from jackdawspread.logs.bounded_log_handler import BoundedLogHandler
from jackdawspread.platform.composition import PlatformInstance
from jackdawspread.platform.settings_file import read_platform_settings
from jackdawspread.settings.session_proxy_settings import SessionProxySettings
from jackdawspread.settings.settings_error import SettingsError
from jackdawspread.tasks.run_isolated import call_isolated

SETTINGS_VARIABLE = "JACKDAWSPREAD_CONFIG"
DEFAULT_SETTINGS = "/etc/jackdawspread/node.conf"
EXIT_SETTINGS = 2
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)

Checked = SessionProxySettings | list[SettingsError]


def main() -> None:
    """Read the settings and run until a graceful shutdown is complete."""
    logger = logging.get_absl_logger()
    logger.handlers = [BoundedLogHandler()]
    logger.propagate = False
    logging.set_verbosity(logging.INFO)
    path = Path(environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS))
    checked = read_platform_settings(path)
    if not isinstance(checked, SessionProxySettings):
        for error in checked:
            logging.error("settings: %s", error)
        sys.exit(EXIT_SETTINGS)
    run(_run, checked, path)


async def _run(settings: SessionProxySettings, path: Path) -> None:
    stopping = Event()
    # Handlers are set before any task runs.
    with open_signal_receiver(*HANDLED_SIGNALS) as signals:
        async with open_nursery() as nursery:
            nursery.start_soon(_watch_signals, signals, stopping, settings, path)
            await PlatformInstance(settings, stopping).run()
            nursery.cancel_scope.cancel()


async def _watch_signals(
    signals: AsyncIterator[int],
    stopping: Event,
    settings: SessionProxySettings,
    path: Path,
) -> None:
    async for number in signals:
        if number == signal.SIGHUP:
            settings = _reload_isolated(settings, path)
            continue
        logging.info("instance: stopping on a signal")
        stopping.set()


def _reload_isolated(
    settings: SessionProxySettings, path: Path
) -> SessionProxySettings:
    """Reload the settings; an unexpected error in the file leaves them as they are."""
    reloaded = [settings]
    call_isolated(
        "settings",
        lambda: reloaded.append(_reload(settings, read_platform_settings(path))),
    )
    return reloaded[-1]


def _reload(settings: SessionProxySettings, checked: Checked) -> SessionProxySettings:
    """Validate and log changed settings, which take effect at the next start."""
    if not isinstance(checked, SessionProxySettings):
        for error in checked:
            logging.error(
                "settings: reload rejected, the previous settings stay: %s", error
            )
        return settings
    changed = [
        name
        for name in settings._fields
        if getattr(settings, name) != getattr(checked, name)
    ]
    logging.info(
        "settings: reloaded changed=%s, effective at the next start",
        ",".join(changed) or "none",
    )
    return checked
