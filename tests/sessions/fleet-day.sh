# The whole path over real processes: a front, three core hosts, targets, the
# placement policy, an operator and callers. Orders are late and lost, tasks
# fail, targets are born again; what must hold is checked at the targets.
. tests/platform/lib.sh
start_fleet
targets --count 8 --seconds 24 --late 0.02 --lost 0.03 --restart 1 --seed 7
configure --version 3
must_reach "the front is ready" 10 is_ready 127.0.0.5
jobs_in --count 150 --gap 0.05 --seed 3
configure --version 2 # older: acknowledged, and changes nothing
curl -s -m 3 "http://127.0.0.2:$((BASE_PORT + 1))/filbertpath/config" | grep -o '"version": *[0-9]*'
wait_for targets
cat "$WORK/targets"
grep -h '"event":"job.ended"' "$WORK"/*.log | grep -c '"state":"completed"'
