#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption: the cut; the configurations and the restart of the leader stay.
if [ "${TROUBLE:-1}" = 0 ]; then MODE=calm; else MODE=trouble; fi
python3 -c 'import asyncio, tomllib; asyncio.timeout' || exit 2
exec python3 "$(dirname "$0")/case.py" "$MODE"
