#!/bin/sh
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
# TROUBLE=0 does the same without the disruption.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")" || exit 2
python3 -c 'import tomllib' || exit 2
timeout -k 3 115 python3 case.py
case $? in 0) exit 0 ;; 1) exit 1 ;; *) exit 2 ;; esac
