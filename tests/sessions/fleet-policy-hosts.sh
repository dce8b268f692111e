# Half of the hosts cannot reach the placement policy: the leader asks through the
# others, and tries the failing ones only now and then.
. tests/platform/lib.sh
NO_POLICY="127.0.0.5 127.0.0.2"
start_fleet
start_targets --count 6 --seconds 14 --seed 8
configure --version 1
expect_state "the front end is ready" 10 is_ready 127.0.0.5
submit_jobs --count 120 --gap 0.05 --seed 3 --patience 20
LEADER=$(leader)
ASKED=$(metric "$LEADER" policy_questions_total)
FAILED=$(metric "$LEADER" policy_failures_total)
[ $((FAILED * 5)) -lt "$ASKED" ] || echo "$FAILED of $ASKED queries failed"
wait_for_exit targets
cat "$WORK/targets"
