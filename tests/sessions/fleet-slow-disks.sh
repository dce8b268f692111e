# The disks of all core hosts take longer for a sync than an election timeout: a leader
# that is heard stays, work goes on, and a lost leader is replaced while they are slow.
. tests/platform/lib.sh
FAULTY_DISKS=1
SYNC_MS=400
start_fleet
start_targets --count 4 --seconds 90 --seed 5
configure --version 1
expect_state "the front end is ready" 10 is_ready 127.0.0.5
for host in $CORES; do set_disk "$host" "slow $SYNC_MS"; done
sleep 1
LEADER=$(leader)
submit_jobs --count 40 --queue /batches/ --tasks 2 --gap 0.2 --seed 31 --patience 30
[ "$(leader)" = "$LEADER" ] && echo "the leader has stayed"
echo "-- the leader is lost"
submit_jobs --count 40 --queue /batches/ --tasks 2 --gap 0.2 --seed 32 --patience 30 >"$WORK/jobs" &
PIDS[jobs]=$!
sleep 1
kill_node "$LEADER"
# One second and six syncs.
expect_state "another leader" 4 has_leader
wait_for_exit jobs
cat "$WORK/jobs"
cat "$WORK"/*.log | grep -q '"disk.slow"' && echo "slow writes were logged"
for host in $CORES; do set_disk "$host" ""; done
start_node "$LEADER" false "$WORK/$LEADER"
expect_state "the host is ready again" 10 is_ready "$LEADER"
kill -USR2 "${PIDS[targets]}"
wait_for_exit targets
cat "$WORK/targets"
