# 5,000 tasks, some of them running, are cancelled at once, and the leader is
# killed right after.
. tests/lib.sh
start_cell 3 3 || exit 1
for t in 1 2 3; do start_target rack$t 0 dc$t --cpu-milli 8000 --memory-mb 8000; done
for t in 1 2 3; do wait_until 10 target_is_up rack$t || exit 1; done
"$FP" team set kapnos >/dev/null
"$FP" queue set rolling --kind batch >/dev/null
KEY=$(create_key counter kapnos)
A=$(submit_job "$KEY" rolling 2500 '{"run_ms": 60000}')
B=$(submit_job "$KEY" rolling 2500 '{"run_ms": 60000}')
capacity_is_full() { [ "$("$FP" status --json | json_value running)" = 24 ]; }
expect_state "24 tasks run" 30 capacity_is_full
run_and_print "$FP" why "$((B * 4096 + 7))" | sed -E 's/^(id:|\$ filbertpath why) .*/\1 TASK/; s/(estimate_ms:) .*/\1 N/'

heading "both jobs are cancelled; the leader is killed right after"
"$FP" cancel "$A" --json | json_value id
"$FP" cancel "$B" --json | json_value id
signal_process "h$(leader)"
expect_state "another host leads" 20 has_leader
all_cancelled() { [ "$("$FP" status --json | json_value cancelled)" = 5000 ]; }
expect_state "5,000 tasks are cancelled" 60 all_cancelled
NEXT=$(submit_job "$KEY" rolling 24 '{"run_ms": 300}' --timeout-ms 20000)
expect_state "the capacity is free again" 30 job_task_count_is "$NEXT" done 24
echo "duplicate starts: $(duplicate_starts)"
on_host "$(leader)" dump --json | grep '"invariants_hold"'
