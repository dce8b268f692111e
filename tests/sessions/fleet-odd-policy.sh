# The placement policy is slow, silent or busy, and answers with errors, cut bodies and
# rows that cannot be read: every job that can run does. A target whose row cannot be
# read is named again.
. tests/platform/lib.sh
start_fleet
start_targets --count 4 --seconds 40 --policy-faults 0.6 --seed 8
configure --version 1
expect_state "the front end is ready" 10 is_ready 127.0.0.5
submit_jobs --count 150 --gap 0.1 --seed 3 --patience 20
wait_for_exit targets
cat "$WORK/targets"
