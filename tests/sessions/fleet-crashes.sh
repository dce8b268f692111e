# Some jobs have a task that crashes each target that starts it, the capacity of
# targets changes, old announcements of it arrive late, and the leader is killed. The
# crashing tasks are given up, everything else is done, no target is over its capacity.
. tests/platform/lib.sh
start_fleet
start_targets --count 12 --seconds 40 --resize 0.7 --seed 5
configure --version 1
expect_state "the front end is ready" 10 is_ready 127.0.0.5
submit_jobs --count 120 --gap 0.08 --seed 4 --patience 60 --deadly 0.06 >"$WORK/jobs" &
PIDS[jobs]=$!
sleep 4
HOST=$(leader)
kill_node "$HOST"
expect_state "another host leads after a kill" 10 has_leader
wait_for_exit jobs
cat "$WORK/jobs"
wait_for_exit targets
cat "$WORK/targets"
