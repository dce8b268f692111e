#!/usr/bin/env bash
# run.sh -- all tests: unit tests, models and checks, then the golden sessions,
# JOBS (default 4) in parallel, and the crowds (crowd-*) one at a time. The whole
# transcript of a session is compared with its expected file.
# "run.sh NAME..." runs only these sessions; ACCEPT=1 overwrites their expected
# files. The first word of each line in KNOWN-RED.txt is the name of a test whose
# failure is printed but does not fail the run.
cd "$(dirname "$0")/.." || exit 1
export FP=${FP:-build/filbertpath}
UNIT=${UNIT:-$(dirname "$FP")/unit}
export OUT=$(dirname "$FP")/sessions
JOBS=${JOBS:-4}
mkdir -p "$OUT"
rm -f "$OUT"/*
PASSED=0
FAILED=0

is_known_failure() { grep -q "^$1 " KNOWN-RED.txt 2>/dev/null; }
record_result() { # NAME STATUS
    if [ "$2" = 0 ]; then
        PASSED=$((PASSED + 1))
    elif is_known_failure "$1"; then
        echo "known failure: $(grep "^$1 " KNOWN-RED.txt)"
    else
        FAILED=$((FAILED + 1))
        echo "FAILED: $1"
    fi
}

run_unit_tests() {
    local name ok
    "$UNIT" >"$OUT/unit.log" 2>&1
    while read -r ok name; do
        if [ "$ok" = OK ]; then record_result "$name" 0; else record_result "$name" 1; fi
    done < <(sed -n -E 's/^\[ +(OK|FAILED) +\] ([A-Za-z\/]+\.[A-Za-z0-9_\/]+)(, where .*)? \([0-9]+ ms.*/\1 \2/p' "$OUT/unit.log")
    grep -q '^\[==========\].* ran\.' "$OUT/unit.log" || record_result "unit-tests-ended" 1
    grep -E -A 8 ': Failure$|ERROR: ' "$OUT/unit.log" | head -60
}

# Each run gets a range of 2,000 ports chosen by its process ID, so that parallel
# runs rarely collide. All are below the kernel's ephemeral ports.
export FIRST_PORT=$((10000 + $$ % 10 * 2000))
run_session() { # NUMBER FILE
    BASE_PORT=$((FIRST_PORT + $1 * 100)) timeout 400 bash "$2" \
        >"$OUT/$(basename "$2" .sh).out" 2>&1
}
export -f run_session

if [ $# -gt 0 ]; then
    FILES=$(for name in "$@"; do echo "tests/sessions/$name.sh"; done)
else
    run_unit_tests
    while read -r ok name; do
        if [ "$ok" = OK ]; then record_result "$name" 0; else record_result "$name" 1; fi
    done < <(tests/models.sh; tests/checks.sh)
    FILES=$(ls tests/sessions/*.sh)
fi
is_crowd() { [[ $(basename "$1") == crowd-* ]]; }
NUMBER=0
for file in $FILES; do
    # Crowds share one range of ports: numbers of all sessions would reach the
    # kernel's ephemeral ports.
    is_crowd "$file" && continue
    NUMBER=$((NUMBER + 1))
    echo "$NUMBER $file"
done | xargs -P "$JOBS" -L 1 bash -c 'run_session "$0" "$1"'
for file in $FILES; do
    is_crowd "$file" && run_session 0 "$file"
done
for file in $FILES; do
    name=$(basename "$file" .sh)
    [ -n "${ACCEPT:-}" ] && cp "$OUT/$name.out" "tests/sessions/$name.expected"
    diff -u "tests/sessions/$name.expected" "$OUT/$name.out"
    record_result "session-$name" $?
done
echo "$PASSED passed, $FAILED failed"
[ "$FAILED" = 0 ]
