# A front is stopped by SIGTERM while callers use it, and a reader of its log
# that does not read holds nobody up.
. tests/platform/lib.sh
start_fleet
targets --count 6 --seconds 22 --seed 2
configure --version 1
must_reach "the front is ready" 10 is_ready 127.0.0.5
# A second front whose output nobody reads.
mkfifo "$WORK/fifo"
settings 127.0.0.6 false >"$WORK/127.0.0.6.yaml"
sleep 60 <"$WORK/fifo" &
PID[reader]=$!
"$FP" node "$WORK/127.0.0.6.yaml" >"$WORK/fifo" 2>"$WORK/6.err" &
PID[127.0.0.6]=$!
must_reach "the second front is ready" 10 is_ready 127.0.0.6
for i in $(seq 1500); do echo "http://127.0.0.6:$((BASE_PORT + 2))/nowhere/$i"; done >"$WORK/urls"
xargs -n 50 curl -s -m 5 <"$WORK/urls" >"$WORK/answers"
must_reach "it has answered and dropped lines" 5 test "$(metric 127.0.0.6 log_lines_dropped_total)" -gt 0
must_reach "it still serves" 5 is_ready 127.0.0.6
FRONT=$FRONT,127.0.0.6:$((BASE_PORT + 2))
jobs_in --count 80 --gap 0.06 --seed 9 >"$WORK/jobs" &
PID[jobs]=$!
sleep 1
kill "${PID[127.0.0.6]}"
wait_for 127.0.0.6
echo "the second front has ended: $?"
wait_for jobs
cat "$WORK/jobs"
wait_for targets
cat "$WORK/targets"
