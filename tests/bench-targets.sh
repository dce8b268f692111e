#!/usr/bin/env bash
# bench-targets.sh TARGETS [STARTS_PER_SECOND] -- what this number of targets and
# of task starts per second costs each of three hosts: CPU time, memory and bytes
# sent to other hosts, measured over 10 s after all targets are up.
cd "$(dirname "$0")/.." || exit 1
RAW=1
. tests/lib.sh
TARGETS=$1
STARTS=${2:-0}
ulimit -n 20000 2>/dev/null
start_cell 3 3 || exit 1
FILBERTPATH_KEY=$TARGET_KEY "$FP" standin t --copies "$TARGETS" --cpu-milli 32000 \
    --memory-mb 64000 --accel 2 --data-centre dc1 >"$WORK/t.log" 2>&1 &
PIDS[targets]=$!
all_up() { [ "$("$FP" status --json | json_value targets_up)" -ge "$TARGETS" ]; }
wait_until 120 all_up || exit 1
"$FP" team set kapnos --max-waiting 100000 >/dev/null
"$FP" queue set rolling --kind batch >/dev/null
KEY=$(create_key counter kapnos)
submit_load() { # ten jobs per second, each with a tenth of the starts
    while sleep 0.1; do
        submit_job "$KEY" rolling $((STARTS / 10)) '{"run_ms": 20000}' >/dev/null
    done
}
if [ "$STARTS" -gt 0 ]; then
    submit_load &
    PIDS[load]=$!
    sleep 25 # tasks run for 20 s: then as many end as start
fi
host_counters() { on_host "$1" dump --json | awk '/"(user_us|system_us)"/ {gsub(/[^0-9]/, ""); cpu_us += $0} /"sent_bytes"/ {gsub(/[^0-9]/, ""); sent = $0} /"peak_memory_kb"/ {gsub(/[^0-9]/, ""); mem = $0} /"heartbeats"/ {gsub(/[^0-9]/, ""); hb = $0} /"running"/ {gsub(/[^0-9]/, ""); run = $0} /"decisions"/ {gsub(/[^0-9]/, ""); dec = $0} END {print cpu_us, sent, mem, hb + 0, run + 0, dec + 0}'; }
for h in 1 2 3; do BEFORE[h]=$(host_counters $h); done
sleep 10
LEADER=$(leader)
for h in 1 2 3; do
    AFTER=$(host_counters $h)
    echo "$TARGETS $STARTS h$h $([ "$LEADER" = $h ] && echo leader || echo follower) ${BEFORE[h]} $AFTER" |
        awk '{printf "targets=%d starts_a_second=%d host=%s role=%s cpu_percent=%.2f sent_kb_a_second=%.1f peak_memory_mb=%.1f heartbeats_a_second=%.0f running=%d decisions_a_second=%.0f\n", $1, $2, $3, $4, ($11 - $5) / 100000, ($12 - $6) / 10240, $13 / 1024, ($14 - $8) / 10, $15, ($16 - $10) / 10}'
done
