#!/usr/bin/env bash
# run.sh -- see claim.txt
exec timeout -k 5 115 python3 -B "$(dirname "$0")/case.py"
