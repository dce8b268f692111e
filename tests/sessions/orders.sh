# The whole path and its refusals: each error names the field, the value and
# what would be accepted, and says whether the work ran.
. tests/lib.sh
begin_cell 3 3 || exit 1
start_target rack1 21 dc1 --service storefront --cpu-milli 4000 --memory-mb 4000
until_true 10 target_up rack1 || exit 1

say "an operator sets up a team, a key and queues"
show "$FP" team set kapnos --weight 2 --limit-running 40
show "$FP" team set kapnos --max-waiting 5000
"$FP" list team | sed -E 's/at_ms=[0-9]+ //'
show "$FP" team set other
show "$FP" queue set orders --kind service --service storefront
show "$FP" queue set rolling --kind batch --team kapnos
show "$FP" queue set public --kind service --service storefront --open --wait
KEY=$(new_key counter kapnos)
OTHER=$(new_key stranger other)
for host in 1 2 3; do must_reach "orders are served on h$host" 15 served_on $host "$KEY" orders; done

say "orders through each host"
for host in 1 2 3; do
    show call $host "$KEY" POST orders/price -d '{"bundle":[{"stick":"myrrh","count":20}]}' | sed 's/^\$ call . [0-9a-f]* /$ call /'
    echo
done

say "an unrepeatable order, resent through the other hosts"
for host in 1 2 3; do
    call $host "$KEY" POST orders/price -H 'Idempotency-Key: k1' -d '{"bundle":[{"stick":"rose","count":2}]}'
    echo
done
call 2 "$KEY" POST orders/price -H 'Idempotency-Key: k1' -d '{"bundle":[{"stick":"rose","count":3}]}'; echo

say "refusals"
call 1 "" POST orders/price -d '{}'; echo
call 1 wrong POST orders/price -d '{}'; echo
call 1 "$KEY" POST nowhere/price -d '{}'; echo
call 1 "$KEY" POST orders/price -H 'X-Deadline-Ms: 99999999' -d '{}'; echo
call 1 "$KEY" POST orders/price -H 'X-Repeatable: maybe' -d '{}'; echo
head -c 1100000 /dev/zero | tr '\0' 'x' >"$WORK/large"
echo "over the bound: $(call 1 "$KEY" POST orders/echo -d @"$WORK/large" -o /dev/null -w '%{http_code}')"
call 3 "" POST public/price -d '{"bundle":[{"stick":"sage","count":1}]}'; echo

say "jobs: another team's queue, too large, no such field"
FILBERTPATH_KEY=$OTHER show "$FP" submit rolling '{}' --cpu-milli 1
FILBERTPATH_KEY=$KEY show "$FP" submit rolling '{}' --cpu-milli 64000
FILBERTPATH_KEY=$KEY show "$FP" submit rolling '{}'
show "$FP" team set kapnos --weight 5000
show "$FP" queue set orders --kind sideways
show "$FP" team set 'no such/name'
show "$FP" show 4711

say "one job, sent twice with one change ID"
JOB=$(submit_job "$KEY" rolling 3 '{"run_ms": 100}' --change-id monday-1)
AGAIN=$(FILBERTPATH_HOSTS=$(http_of 2) submit_job "$KEY" rolling 3 '{"run_ms": 100}' --change-id monday-1)
[ "$JOB" = "$AGAIN" ] && echo "one job"
must_reach "3 tasks done" 15 job_state_is "$JOB" done 3
echo "tasks run: $(ended_tasks), doubled: $(doubled_tasks)"
FILBERTPATH_KEY=$OTHER show "$FP" show "$JOB" | sed "s/show $JOB/show JOB/"
show "$FP" why "$((JOB * 4096))" | sed -E 's/^(id:|\$ filbertpath why) .*/\1 TASK/'

say "every process tells its state"
for host in 1 2 3; do
    on $host dump --json | grep -E '"(invariants_hold|fresh|has_disk)"' | sort -u
done
