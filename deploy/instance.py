"""Starts an instance from the packages that the build has put under target/."""

import gc

# Nothing that the imports make is garbage, so collecting it only delays the start.
gc.disable()

from jackdawspread.platform.daemon import main  # noqa: E402

gc.freeze()
gc.enable()
main()
