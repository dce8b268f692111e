# The leader is killed during submissions: acknowledged jobs are kept, resent
# submissions create no second job, and every task runs once.
. tests/lib.sh
start_cell 3 3 || exit 1
start_target rack1 0 dc1 --cpu-milli 8000 --memory-mb 8000
start_target rack2 0 dc2 --cpu-milli 8000 --memory-mb 8000
wait_until 10 target_is_up rack1 && wait_until 10 target_is_up rack2 || exit 1
"$FP" team set kapnos >/dev/null
"$FP" queue set rolling --kind batch >/dev/null
KEY=$(create_key counter kapnos)

heading "30 submissions; the leader is killed after the 12th"
for i in $(seq 1 30); do
    submit_job "$KEY" rolling 2 '{"run_ms": 300}' --change-id "s$i" --timeout-ms 20000 >>"$WORK/ids" &
    SUBMITTERS="${SUBMITTERS:-} $!"
    [ "$i" = 12 ] && { OLD_LEADER=$(leader); signal_process "h$OLD_LEADER"; }
done
wait $SUBMITTERS
expect_state "another host leads" 15 has_leader
echo "job IDs received: $(grep -c . "$WORK/ids"), different: $(sort -u "$WORK/ids" | grep -c .)"

heading "all are resent with the same change IDs"
for i in $(seq 1 30); do
    submit_job "$KEY" rolling 2 '{"run_ms": 300}' --change-id "s$i" --timeout-ms 20000 >>"$WORK/again"
done
sort -u "$WORK/ids" >"$WORK/a"; sort -u "$WORK/again" >"$WORK/b"
cmp "$WORK/a" "$WORK/b" && echo "the same 30 jobs"
all_done() { [ "$("$FP" status --json | json_value done)" = 60 ]; }
expect_state "60 tasks done" 60 all_done
echo "tasks run: $(completed_task_count), duplicate starts: $(duplicate_starts)"

heading "the killed host restarts"
start_host "$OLD_LEADER"
expect_state "it is up to date" 20 is_fresh "$OLD_LEADER"
on_host "$OLD_LEADER" status --json | grep -E '"(done|waiting|running)"'
on_host "$OLD_LEADER" dump --json | grep '"invariants_hold"'
