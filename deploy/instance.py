"""Starts an instance from the packages that the build has put under target/."""

import gc
import sys

# Nothing that the imports make is garbage, so collecting it only delays the start.
gc.disable()
# The interpreter starts at the root of the repository, without the site module.
sys.path.append("target/deps")

from jackdawspread.platform.daemon import main  # noqa: E402

gc.freeze()
gc.enable()
main()
