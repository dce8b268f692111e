# The disks of the core hosts take as long to store the ends of runs as a lease lasts:
# the leases of targets are renewed meanwhile, and no target is taken for lost.
. tests/platform/lib.sh
FAULTY_DISKS=1
LEASE_MS=2000
start_fleet
start_targets --count 4 --seconds 90 --seed 8
configure --version 1
expect_state "the front end is ready" 10 is_ready 127.0.0.5
sleep 2
lost_targets() { cat "$WORK"/*.log | grep -c '"target.lost"'; }
LOST=$(lost_targets)
for host in $CORES; do set_disk "$host" "slow 1500"; done
submit_jobs --count 30 --queue /batches/ --tasks 3 --ms 1200 --gap 0.2 --seed 41 --patience 40
echo "targets lost: $(($(lost_targets) - LOST))"
for host in $CORES; do set_disk "$host" ""; done
kill -USR2 "${PIDS[targets]}"
wait_for_exit targets
cat "$WORK/targets"
