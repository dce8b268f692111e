# kill -9 of the leader amid submissions: what was acknowledged stays, what is
# sent again is not doubled, and every task runs once.
. tests/lib.sh
begin_cell 3 3 || exit 1
start_target rack1 0 dc1 --cpu-milli 8000 --memory-mb 8000
start_target rack2 0 dc2 --cpu-milli 8000 --memory-mb 8000
until_true 10 target_up rack1 && until_true 10 target_up rack2 || exit 1
"$FP" team set kapnos >/dev/null
"$FP" queue set rolling --kind batch >/dev/null
KEY=$(new_key counter kapnos)

say "30 submissions; the leader dies amid them"
for i in $(seq 1 30); do
    submit_job "$KEY" rolling 2 '{"run_ms": 300}' --change-id "s$i" --timeout-ms 20000 >>"$WORK/ids" &
    WAITERS="${WAITERS:-} $!"
    [ "$i" = 12 ] && { OLD=$(leader); kill_it "h$OLD"; }
done
wait $WAITERS
must_reach "another host leads" 15 has_leader
echo "answered: $(grep -c . "$WORK/ids"), different: $(sort -u "$WORK/ids" | grep -c .)"

say "all are sent again, with the same IDs"
for i in $(seq 1 30); do
    submit_job "$KEY" rolling 2 '{"run_ms": 300}' --change-id "s$i" --timeout-ms 20000 >>"$WORK/again"
done
sort -u "$WORK/ids" >"$WORK/a"; sort -u "$WORK/again" >"$WORK/b"
cmp "$WORK/a" "$WORK/b" && echo "the same 30 jobs"
all_done() { [ "$("$FP" status --json | value done)" = 60 ]; }
must_reach "60 tasks done" 60 all_done
echo "tasks run: $(ended_tasks), doubled: $(doubled_tasks)"

say "the dead host comes back and follows"
start_host "$OLD"
must_reach "it is fresh" 20 is_fresh "$OLD"
on "$OLD" status --json | grep -E '"(done|waiting|running)"'
on "$OLD" dump --json | grep '"invariants_hold"'
