"""Starts an instance with the packages that the build installs in target/."""

import gc
import sys
from os import _exit
from signal import SIG_IGN, SIGHUP, SIGINT, SIGTERM, signal

# Until the instance handles signals itself, a change of the settings needs no action,
# as the settings are read later, and a stop ends the process at once. The imports take
# a few tenths of a second, in which the default actions would end it with an error.
signal(SIGHUP, SIG_IGN)
for number in (SIGTERM, SIGINT):
    signal(number, lambda number, frame: _exit(0))

# Imports create no garbage, so garbage collection would only delay the start.
gc.disable()
# The interpreter is started in the root of the repository, without the site module.
sys.path.append("target/deps")

from jackdawspread.platform.daemon import main  # noqa: E402

gc.freeze()
gc.enable()
main()
