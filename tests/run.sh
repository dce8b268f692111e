#!/usr/bin/env bash
# run.sh -- all tests: units and seeded runs, then the golden sessions, some at
# a time. A session's whole transcript is compared with its expected file.
# "run.sh NAME..." runs just these sessions; ACCEPT=1 writes expected files.
# Entries of KNOWN-RED.txt (first word of a line: the test's name) are run and
# printed, but do not fail the whole.
cd "$(dirname "$0")/.." || exit 1
export FP=${FP:-build/filbertpath}
UNIT=${UNIT:-$(dirname "$FP")/unit}
export OUT=$(dirname "$FP")/sessions
JOBS=${JOBS:-4}
mkdir -p "$OUT"
rm -f "$OUT"/*
PASSED=0
FAILED=0

known_red() { grep -q "^$1 " KNOWN-RED.txt 2>/dev/null; }
note() { # NAME OK
    if [ "$2" = 0 ]; then
        PASSED=$((PASSED + 1))
    elif known_red "$1"; then
        echo "known red: $(grep "^$1 " KNOWN-RED.txt)"
    else
        FAILED=$((FAILED + 1))
        echo "FAILED: $1"
    fi
}

run_units() {
    local name ok
    "$UNIT" >"$OUT/unit.log" 2>&1
    while read -r ok name; do
        if [ "$ok" = OK ]; then note "$name" 0; else note "$name" 1; fi
    done < <(sed -n -E 's/^\[ +(OK|FAILED) +\] ([A-Za-z]+\.[A-Za-z0-9_]+) \(.*/\1 \2/p' "$OUT/unit.log")
    grep -q '^\[==========\].* ran\.' "$OUT/unit.log" || note "unit-tests-ended" 1
    grep -E -A 8 ': Failure$|ERROR: ' "$OUT/unit.log" | head -60
}

# Each run has 2,000 ports of its own, so that two runs do not meet; all are
# below those that the kernel hands out.
export FIRST_PORT=$((10000 + $$ % 10 * 2000))
run_session() { # NUMBER FILE
    BASE_PORT=$((FIRST_PORT + $1 * 100)) timeout 400 bash "$2" \
        >"$OUT/$(basename "$2" .sh).out" 2>&1
}
export -f run_session

if [ $# -gt 0 ]; then
    FILES=$(for name in "$@"; do echo "tests/sessions/$name.sh"; done)
else
    run_units
    while read -r ok name; do
        if [ "$ok" = OK ]; then note "$name" 0; else note "$name" 1; fi
    done < <(tests/models.sh; tests/checks.sh)
    FILES=$(ls tests/sessions/*.sh)
fi
NUMBER=0
for file in $FILES; do
    NUMBER=$((NUMBER + 1))
    echo "$NUMBER $file"
done | xargs -P "$JOBS" -L 1 bash -c 'run_session "$0" "$1"'
for file in $FILES; do
    name=$(basename "$file" .sh)
    [ -n "${ACCEPT:-}" ] && cp "$OUT/$name.out" "tests/sessions/$name.expected"
    diff -u "tests/sessions/$name.expected" "$OUT/$name.out"
    note "session-$name" $?
done
echo "$PASSED passed, $FAILED failed"
[ "$FAILED" = 0 ]
