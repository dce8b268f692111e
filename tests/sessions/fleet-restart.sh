# All hosts are killed, and the front end is up again before the core hosts are. In
# its first second it refuses no call: calls wait for the leader, which is about to
# be elected.
. tests/platform/lib.sh
start_fleet
start_targets --count 6 --seconds 25 --seed 4
configure --version 1
expect_state "the front end is ready" 10 is_ready 127.0.0.5
submit_jobs --count 20 --gap 0.02 --seed 3 --patience 20
for host in 127.0.0.5 $CORES; do kill_node "$host"; done
rm "$WORK/127.0.0.5.log"
start_node 127.0.0.5 false
submit_jobs --count 20 --gap 0.02 --seed 5 --patience 20 >"$WORK/jobs" &
PIDS[jobs]=$!
has_calls() { [ "$(metric 127.0.0.5 calls_in_flight)" -gt 3 ]; }
expect_state "calls wait" 5 has_calls
for host in $CORES; do start_node "$host" false "$WORK/$host"; done
wait_for_exit jobs
cat "$WORK/jobs"
wait_for_exit targets
cat "$WORK/targets"
sed -nE 's/.*"at":([0-9.]*),"event":"(node.started|call.failed)".*/\2 \1/p' "$WORK/127.0.0.5.log" |
    awk '$1 == "node.started" { start = $2 } $1 == "call.failed" && $2 < start + 1.2 { failed++ }
        END { print "calls refused in the first second: " failed + 0 }'
