"""Command that runs an entry instance."""

import signal
from pathlib import Path
from typing import Annotated

from absl import logging
from trio import Event, open_nursery, open_signal_receiver, run
from typer import Argument, Exit, echo

from jackdawspread.composition import Instance
from jackdawspread.settings.instance_settings import InstanceSettings
from jackdawspread.settings.instance_settings_file import read_instance_settings

EXIT_INVALID_SETTINGS = 2


def proxy(
    settings: Annotated[Path, Argument(help="Settings file of the instance.")],
) -> None:
    """Run an entry instance until SIGTERM."""
    checked = read_instance_settings(settings)
    if checked.is_error():
        for error in checked.error:
            echo(str(error), err=True)
        raise Exit(EXIT_INVALID_SETTINGS)
    logging.set_verbosity(logging.INFO)
    run(_run, checked.ok)


async def _run(settings: InstanceSettings) -> None:
    stopping = Event()
    async with open_nursery() as nursery:
        nursery.start_soon(_stop_on_signal, stopping)
        await Instance(settings, stopping).run()
        nursery.cancel_scope.cancel()


async def _stop_on_signal(stopping: Event) -> None:
    with open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            logging.info("instance: stopping on a signal")
            stopping.set()
