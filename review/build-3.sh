#!/bin/sh
# Checks that the stand-ins of cases 11 to 15 can run. They are Python, 3.11 or later,
# with its standard library only, so there is nothing to compile.
cd "$(dirname "$0")" || exit 1
exec python3 - <<'PY'
import ast
import asyncio
import glob
import tomllib
asyncio.timeout
for path in ["fleet3.py"] + sorted(glob.glob("1[1-5]/case.py")):
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
PY
