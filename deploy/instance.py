"""Starts an instance from the source tree of a checkout."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from jackdawspread.platform.daemon import main  # noqa: E402

main()
