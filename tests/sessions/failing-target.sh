# A target fails everything that it starts: work ends elsewhere, the target is
# put on probation, and jobs that fail everywhere end after their attempts.
. tests/lib.sh
begin_cell 3 3 || exit 1
# The smaller one is the tighter fit, so work is tried there first.
start_target bad 0 dc1 --cpu-milli 2000 --memory-mb 8000 --fail-all
start_target good 0 dc2 --cpu-milli 8000 --memory-mb 8000
until_true 10 target_up bad && until_true 10 target_up good || exit 1
"$FP" team set kapnos >/dev/null
"$FP" queue set rolling --kind batch >/dev/null
KEY=$(new_key counter kapnos)
IDS=
for i in $(seq 1 12); do IDS="$IDS $(submit_job "$KEY" rolling 1 '{"run_ms": 300}')"; done
all_done() { [ "$("$FP" status --json | value done)" = 12 ]; }
must_reach "12 tasks done" 60 all_done
on_probation() { [ "$(on "$(leader)" dump --json | value probations)" -ge 1 ]; }
must_reach "the target is on probation" 10 on_probation
MISSED=$(awk '$2 == "failed"' "$WORK/journal" | grep -c .)
[ "$MISSED" -ge 3 ] && [ "$MISSED" -le 16 ] && echo "few attempts were lost on it"

say "a job that fails everywhere"
JOB=$(submit_job "$KEY" rolling 1 '{"run_ms": 50, "fail": true}' --max-attempts 2)
must_reach "it ends as failed" 60 job_state_is "$JOB" failed 1
"$FP" show "$JOB" --json | grep -E '"(failures|attempt|last_outcome)"'
echo "doubled: $(doubled_tasks)"
