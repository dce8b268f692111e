#!/usr/bin/env bash
# run.sh -- see claim.txt. TROUBLE=0 does the same without the disruption.
export TROUBLE="${TROUBLE:-1}"
exec timeout -k 5 115 python3 -B "$(dirname "$0")/case.py"
