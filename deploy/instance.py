"""Starts an instance from the packages that the build has put under target/."""

from jackdawspread.platform.daemon import main

main()
