# Faults from outside while jobs go in: the leader is killed and comes back, the
# next one is paused past its lease, a core host loses its disk. What was
# accepted ends, and no task runs twice.
. tests/platform/lib.sh
SNAPSHOT_ENTRIES=300 start_fleet
targets --count 8 --seconds 34 --lost 0.01 --seed 5
configure --version 1
must_reach "the front is ready" 10 is_ready 127.0.0.5
jobs_in --count 260 --gap 0.07 --seed 4 --patience 40 >"$WORK/jobs" &
PID[jobs]=$!
sleep 2
HOST=$(leader)
kill -9 "${PID[$HOST]}"
wait "${PID[$HOST]}" 2>/dev/null
must_reach "another host leads after a kill" 10 has_leader
start_node "$HOST" false "$WORK/$HOST"
sleep 3
HOST=$(leader)
kill -STOP "${PID[$HOST]}"
must_reach "another host leads after a pause" 10 has_leader
sleep 2
kill -CONT "${PID[$HOST]}"
sleep 2
for HOST in $CORES; do [ "$HOST" != "$(leader)" ] && break; done
kill -9 "${PID[$HOST]}"
wait "${PID[$HOST]}" 2>/dev/null
rm -rf "$WORK/$HOST"
mkdir "$WORK/$HOST"
start_node "$HOST" false "$WORK/$HOST"
has_caught_up() { [ "$(metric "$HOST" commit_index)" -gt 50 ]; }
must_reach "a host with an empty disk has caught up" 15 has_caught_up
joined() { grep -q "\"event\":\"member.added\",\"host\":\"$HOST\"" "$WORK"/*.log; }
must_reach "it is a member again" 15 joined
wait_for jobs
cat "$WORK/jobs"
wait_for targets
cat "$WORK/targets"
