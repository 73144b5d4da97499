"""Starts an instance with the packages that the build installs in target/."""

import gc
import sys

# Imports create no garbage, so garbage collection would only delay the start.
gc.disable()
# The interpreter is started in the root of the repository, without the site module.
sys.path.append("target/deps")

from jackdawspread.platform.daemon import main  # noqa: E402

gc.freeze()
gc.enable()
main()
