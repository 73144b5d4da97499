#!/bin/sh
# Builds the stand-ins of the review's script. They need Python 3.11 only.
cd "$(dirname "$0")" && exec python3 -m compileall -q 4
