#!/usr/bin/env bash
# The whole path of a fleet on loopback: three core hosts, a front, eight
# targets, the placement policy, an operator and callers.
cd "$(dirname "$0")/.." || exit 1
. tests/platform/lib.sh
echo "== a fleet founds itself from its seeds"
start_fleet
targets --count 8 --seconds 9
configure
must_reach "the front is ready" 10 is_ready 127.0.0.5
echo "== forty jobs of one or two steps"
jobs_in --count 40 --gap 0.03
echo "== the leader is killed while more come in"
jobs_in --count 40 --gap 0.05 --seed 2 >"$WORK/jobs" &
PID[jobs]=$!
sleep 0.5
HOST=$(leader)
kill -9 "${PID[$HOST]}"
wait "${PID[$HOST]}" 2>/dev/null
must_reach "another host leads" 10 has_leader
wait_for jobs
cat "$WORK/jobs"
ID=$(grep -h '"event":"job.ended"' "$WORK"/127*.log | sed -n '1s/.*"id":"\([0-9a-f]*\)".*/\1/p')
echo "== the history of one job"
"$FP" explain "$ID" "$WORK"/127*.log | sed "s|\[$WORK/|[|"
wait_for targets
cat "$WORK/targets"
