# A wave of cancellations: 5,000 tasks at once, some of them running; and a
# host is killed amid the wave.
. tests/lib.sh
begin_cell 3 3 || exit 1
for t in 1 2 3; do start_target rack$t 0 dc$t --cpu-milli 8000 --memory-mb 8000; done
for t in 1 2 3; do until_true 10 target_up rack$t || exit 1; done
"$FP" team set kapnos >/dev/null
"$FP" queue set rolling --kind batch >/dev/null
KEY=$(new_key counter kapnos)
A=$(submit_job "$KEY" rolling 2500 '{"run_ms": 60000}')
B=$(submit_job "$KEY" rolling 2500 '{"run_ms": 60000}')
full() { [ "$("$FP" status --json | value running)" = 24 ]; }
must_reach "24 tasks run" 30 full
show "$FP" why "$((B * 4096 + 7))" | sed -E 's/^(id:|\$ filbertpath why) .*/\1 TASK/; s/(estimate_ms:) .*/\1 N/'

say "both jobs are cancelled; the leader dies at once"
"$FP" cancel "$A" --json | value id
"$FP" cancel "$B" --json | value id
kill_it "h$(leader)"
must_reach "another host leads" 20 has_leader
gone() { [ "$("$FP" status --json | value cancelled)" = 5000 ]; }
must_reach "5,000 are cancelled" 60 gone
NEXT=$(submit_job "$KEY" rolling 24 '{"run_ms": 300}' --timeout-ms 20000)
must_reach "the room is back" 30 job_state_is "$NEXT" done 24
echo "doubled: $(doubled_tasks)"
on "$(leader)" dump --json | grep '"invariants_hold"'
