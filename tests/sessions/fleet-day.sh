# A fleet of real processes: a front end, three core hosts, targets, the placement
# policy, an operator and callers. Orders to targets arrive late or their answers
# are lost, and targets restart; the targets check the invariants.
. tests/platform/lib.sh
start_fleet
start_targets --count 8 --seconds 24 --late 0.02 --lost 0.03 --restart 1 --seed 7
configure --version 3
expect_state "the front end is ready" 10 is_ready 127.0.0.5
submit_jobs --count 150 --gap 0.05 --seed 3
configure --version 2 # an older version is acknowledged without effect
curl -s -m 3 "http://127.0.0.2:$((BASE_PORT + 1))/filbertpath/config" | grep -o '"version": *[0-9]*'
wait_for_exit targets
cat "$WORK/targets"
grep -h '"event":"job.ended"' "$WORK"/*.log | grep -c '"state":"completed"'
