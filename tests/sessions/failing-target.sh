# A target fails every task that it starts: the tasks are done by another target,
# the failing one is put on probation, and a job that fails on every target ends
# after its maximum number of attempts.
. tests/lib.sh
start_cell 3 3 || exit 1
# The failing target is smaller, so best fit tries it first.
start_target bad 0 dc1 --cpu-milli 2000 --memory-mb 8000 --fail-all
start_target good 0 dc2 --cpu-milli 8000 --memory-mb 8000
wait_until 10 target_is_up bad && wait_until 10 target_is_up good || exit 1
"$FP" team set kapnos >/dev/null
"$FP" queue set rolling --kind batch >/dev/null
KEY=$(create_key counter kapnos)
IDS=
for i in $(seq 1 12); do IDS="$IDS $(submit_job "$KEY" rolling 1 '{"run_ms": 300}')"; done
all_done() { [ "$("$FP" status --json | json_value done)" = 12 ]; }
expect_state "12 tasks done" 60 all_done
on_probation() { [ "$(on_host "$(leader)" dump --json | json_value probations)" -ge 1 ]; }
expect_state "the target is on probation" 10 on_probation
FAILED_ATTEMPTS=$(awk '$2 == "failed"' "$WORK/journal" | grep -c .)
[ "$FAILED_ATTEMPTS" -ge 3 ] && [ "$FAILED_ATTEMPTS" -le 16 ] && echo "3 to 16 attempts failed on it"

heading "a job that fails on every target"
JOB=$(submit_job "$KEY" rolling 1 '{"run_ms": 50, "fail": true}' --max-attempts 2)
expect_state "it ends as failed" 60 job_task_count_is "$JOB" failed 1
"$FP" show "$JOB" --json | grep -E '"(failures|attempt|last_outcome)"'
echo "duplicate starts: $(duplicate_starts)"
