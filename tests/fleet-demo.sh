#!/usr/bin/env bash
# fleet-demo.sh -- demonstration of a fleet on loopback: three core hosts, a
# front end, eight targets, the placement policy, an operator and callers.
cd "$(dirname "$0")/.." || exit 1
. tests/platform/lib.sh
echo "== a fleet initialises itself from its seeds"
start_fleet
start_targets --count 8 --seconds 9
configure
expect_state "the front end is ready" 10 is_ready 127.0.0.5
echo "== forty jobs of one or two steps"
submit_jobs --count 40 --gap 0.03
echo "== the leader is killed while more jobs are submitted"
submit_jobs --count 40 --gap 0.05 --seed 2 >"$WORK/jobs" &
PIDS[jobs]=$!
sleep 0.5
HOST=$(leader)
kill_node "$HOST"
expect_state "another host leads" 10 has_leader
wait_for_exit jobs
cat "$WORK/jobs"
ID=$(grep -h '"event":"job.ended"' "$WORK"/127*.log | sed -n '1s/.*"id":"\([0-9a-f]*\)".*/\1/p')
echo "== the history of one job"
"$FP" explain "$ID" "$WORK"/127*.log | sed "s|\[$WORK/|[|"
wait_for_exit targets
cat "$WORK/targets"
