# Orders without an answer are carried out by the next incarnation of their target, once
# the leader has called that: no task starts again after it has ended, or twice at once.
. tests/platform/lib.sh
start_fleet
start_targets --count 6 --late 0.1 --outlive --restart 1 --seconds 60 --seed 5
configure --version 1
expect_state "the front end is ready" 10 is_ready 127.0.0.5
submit_jobs --count 100 --gap 0.08 --seed 12 --patience 40 >"$WORK/jobs" &
PIDS[jobs]=$!
wait_for_exit jobs
cat "$WORK/jobs"
kill -USR2 "${PIDS[targets]}"
wait_for_exit targets
cat "$WORK/targets"
