#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 runs the same without the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
exec timeout -k 2 110 python3 -S "$folder/case.py"
