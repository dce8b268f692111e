# A front end is stopped by SIGTERM while callers use it. Before that its log goes
# to a pipe that nobody reads: it must drop log lines instead of blocking.
. tests/platform/lib.sh
start_fleet
start_targets --count 6 --seconds 22 --seed 2
configure --version 1
expect_state "the front end is ready" 10 is_ready 127.0.0.5
# The output of a second front end goes to a pipe that is never read.
mkfifo "$WORK/fifo"
print_settings 127.0.0.6 false >"$WORK/127.0.0.6.yaml"
sleep 60 <"$WORK/fifo" &
PIDS[reader]=$!
"$FP" node "$WORK/127.0.0.6.yaml" >"$WORK/fifo" 2>"$WORK/6.err" &
PIDS[127.0.0.6]=$!
expect_state "the second front end is ready" 10 is_ready 127.0.0.6
for i in $(seq 1500); do echo "http://127.0.0.6:$((BASE_PORT + 2))/nowhere/$i"; done >"$WORK/urls"
xargs -n 50 curl -s -m 5 <"$WORK/urls" >"$WORK/answers"
expect_state "it has dropped log lines" 5 test "$(metric 127.0.0.6 log_lines_dropped_total)" -gt 0
expect_state "it is still ready" 5 is_ready 127.0.0.6
FRONT_END=$FRONT_END,127.0.0.6:$((BASE_PORT + 2))
submit_jobs --count 80 --gap 0.06 --seed 9 >"$WORK/jobs" &
PIDS[jobs]=$!
sleep 1
kill "${PIDS[127.0.0.6]}"
wait_for_exit 127.0.0.6
echo "the second front end has ended: $?"
wait_for_exit jobs
cat "$WORK/jobs"
wait_for_exit targets
cat "$WORK/targets"
