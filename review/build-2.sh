#!/bin/sh
# Builds the stand-ins of the second review's scripts (cases 8 and 10), which share
# them. They need the standard library of Python 3.11 only.
cd "$(dirname "$0")" || exit 1
exec python3 -m py_compile 8/standins.py 8/fleet.py
