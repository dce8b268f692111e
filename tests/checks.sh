#!/usr/bin/env bash
# checks.sh -- consistency of the sources, the documentation and the mutation
# list. Prints "OK NAME" or "FAILED NAME" for each check, as models.sh does.
cd "$(dirname "$0")/.." || exit 1
FP=${FP:-build/filbertpath}

report_check() { # NAME STATUS
    if [ "$2" = 0 ]; then echo "OK $1"; else echo "FAILED $1"; fi
}

# Every event of the table is used by some source file.
missing=0
for event in $(sed -n 's/^    \(EVENT_[A-Z_]*\),$/\1/p' base/event.h); do
    [ "$event" = EVENT_COUNT ] && continue
    grep -qw "$event" base/log.c core/*.c node/*.c platform/*.c cli/*.c && continue
    [ "$event" = EVENT_LINES_DROPPED ] && continue # written by the logger
    echo "event is never emitted: $event" >&2
    missing=1
done
report_check "events-are-emitted" $missing

# docs/LOGS.md contains the event table that the program prints.
"$FP" events | diff - <(sed -n '/^| Event/,$p' docs/LOGS.md) >&2
report_check "log-page-is-current" $?

# Each mutation still finds its text in the sources.
tests/mutants.sh --applies >&2
report_check "mutants-apply" $?

# Only platform/ uses names of the platform's protocol.
! grep -nE 'run-start|run-stop|last_seen|fencing_token|X-Expect-Instance|api_keys|cold_remaining|minion|tenant' \
    base/*.[ch] core/*.[ch] node/*.[ch] cli/*.[ch] bench/*.[ch] >&2
report_check "names-stay-in-platform" $?
