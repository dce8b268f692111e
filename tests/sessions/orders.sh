# Requests and jobs from end to end, and how they are refused: an error names the
# field, the value and what is accepted, and says whether the work ran.
. tests/lib.sh
start_cell 3 3 || exit 1
start_target rack1 21 dc1 --service storefront --cpu-milli 4000 --memory-mb 4000
wait_until 10 target_is_up rack1 || exit 1

heading "an operator creates teams, queues and keys"
run_and_print "$FP" team set kapnos --weight 2 --limit-running 40
run_and_print "$FP" team set kapnos --max-waiting 5000
"$FP" list team | sed -E 's/at_ms=[0-9]+ //'
run_and_print "$FP" team set other
run_and_print "$FP" queue set orders --kind service --service storefront
run_and_print "$FP" queue set rolling --kind batch --team kapnos
run_and_print "$FP" queue set public --kind service --service storefront --open --wait
KEY=$(create_key counter kapnos)
OTHER_KEY=$(create_key stranger other)
for host in 1 2 3; do expect_state "orders are served on h$host" 15 queue_is_served $host "$KEY" orders; done

heading "orders through each host"
for host in 1 2 3; do
    run_and_print call $host "$KEY" POST orders/price -d '{"bundle":[{"stick":"myrrh","count":20}]}' | sed 's/^\$ call . [0-9a-f]* /$ call /'
    echo
done

heading "an order with an idempotency key, resent through the other hosts"
for host in 1 2 3; do
    call $host "$KEY" POST orders/price -H 'Idempotency-Key: k1' -d '{"bundle":[{"stick":"rose","count":2}]}'
    echo
done
call 2 "$KEY" POST orders/price -H 'Idempotency-Key: k1' -d '{"bundle":[{"stick":"rose","count":3}]}'; echo

heading "refusals"
call 1 "" POST orders/price -d '{}'; echo
call 1 wrong POST orders/price -d '{}'; echo
call 1 "$KEY" POST nowhere/price -d '{}'; echo
call 1 "$KEY" POST orders/price -H 'X-Deadline-Ms: 99999999' -d '{}'; echo
call 1 "$KEY" POST orders/price -H 'X-Repeatable: maybe' -d '{}'; echo
head -c 1100000 /dev/zero | tr '\0' 'x' >"$WORK/large"
echo "body over the limit: $(call 1 "$KEY" POST orders/echo -d @"$WORK/large" -o /dev/null -w '%{http_code}')"
call 3 "" POST public/price -d '{"bundle":[{"stick":"sage","count":1}]}'; echo

heading "refused commands: another team's queue, no size, invalid values, unknown job"
FILBERTPATH_KEY=$OTHER_KEY run_and_print "$FP" submit rolling '{}' --cpu-milli 1
FILBERTPATH_KEY=$KEY run_and_print "$FP" submit rolling '{}' --cpu-milli 64000
FILBERTPATH_KEY=$KEY run_and_print "$FP" submit rolling '{}'
run_and_print "$FP" team set kapnos --weight 5000
run_and_print "$FP" queue set orders --kind sideways
run_and_print "$FP" team set 'no such/name'
run_and_print "$FP" show 4711

heading "one job, submitted twice with the same change ID"
JOB=$(submit_job "$KEY" rolling 3 '{"run_ms": 100}' --change-id monday-1)
AGAIN=$(FILBERTPATH_HOSTS=$(http_address 2) submit_job "$KEY" rolling 3 '{"run_ms": 100}' --change-id monday-1)
[ "$JOB" = "$AGAIN" ] && echo "one job"
expect_state "3 tasks done" 15 job_task_count_is "$JOB" done 3
echo "tasks run: $(completed_task_count), duplicate starts: $(duplicate_starts)"
FILBERTPATH_KEY=$OTHER_KEY run_and_print "$FP" show "$JOB" | sed "s/show $JOB/show JOB/"
run_and_print "$FP" why "$((JOB * 4096))" | sed -E 's/^(id:|\$ filbertpath why) .*/\1 TASK/'

heading "the state of every host"
for host in 1 2 3; do
    on_host $host dump --json | grep -E '"(invariants_hold|fresh|has_disk)"' | sort -u
done
