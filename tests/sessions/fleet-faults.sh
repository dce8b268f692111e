# Faults while jobs are submitted: the leader is killed and restarted, the next
# leader is paused until its lease has expired, a core host loses its disk. Every
# accepted job must complete, and no task may run twice.
. tests/platform/lib.sh
SNAPSHOT_ENTRIES=300 start_fleet
start_targets --count 8 --seconds 34 --lost 0.01 --seed 5
configure --version 1
expect_state "the front end is ready" 10 is_ready 127.0.0.5
submit_jobs --count 260 --gap 0.07 --seed 4 --patience 40 >"$WORK/jobs" &
PIDS[jobs]=$!
sleep 2
HOST=$(leader)
kill_node "$HOST"
expect_state "another host leads after a kill" 10 has_leader
start_node "$HOST" false "$WORK/$HOST"
sleep 3
HOST=$(leader)
kill -STOP "${PIDS[$HOST]}"
expect_state "another host leads after a pause" 10 has_leader
sleep 2
kill -CONT "${PIDS[$HOST]}"
sleep 2
for HOST in $CORES; do [ "$HOST" != "$(leader)" ] && break; done
kill_node "$HOST"
rm -rf "$WORK/$HOST"
mkdir "$WORK/$HOST"
start_node "$HOST" false "$WORK/$HOST"
has_caught_up() { [ "$(metric "$HOST" commit_index)" -gt 50 ]; }
expect_state "a host with an empty disk has caught up" 15 has_caught_up
joined() { grep -q "\"event\":\"member.added\",\"host\":\"$HOST\"" "$WORK"/*.log; }
expect_state "it is a member again" 15 joined
wait_for_exit jobs
cat "$WORK/jobs"
wait_for_exit targets
cat "$WORK/targets"
