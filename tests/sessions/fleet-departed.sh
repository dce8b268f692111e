# Targets drain and say that they end, but work on for some seconds, and the answers to
# that and all orders are lost. Their tasks start elsewhere once they cannot run any
# more, also under a leader that is elected meanwhile.
. tests/platform/lib.sh
start_fleet
start_targets --count 6 --seconds 60 --depart 7 --seed 6
configure --version 1
expect_state "the front end is ready" 10 is_ready 127.0.0.5
submit_jobs --count 8 --ms 9000 --gap 0.1 --seed 11 --patience 60 >"$WORK/jobs" &
PIDS[jobs]=$!
departed() { [ "$(grep -hc '"target.departed"' "$WORK/$1.log")" -ge 2 ]; }
expect_state "two targets have said that they end" 20 departed "$(leader)"
kill_node "$(leader)"
expect_state "another host leads" 10 has_leader
wait_for_exit jobs
cat "$WORK/jobs"
kill -USR2 "${PIDS[targets]}"
wait_for_exit targets
cat "$WORK/targets"
