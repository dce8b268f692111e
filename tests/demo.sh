#!/usr/bin/env bash
# demo.sh -- demonstration with real processes: three hosts, two targets, a team,
# a key, orders as requests, and a batch job of four tasks.
cd "$(dirname "$0")/.." || exit 1
RAW=1
. tests/lib.sh

heading() { printf '\n== %s\n' "$*"; }

heading "three hosts, one cell"
start_cell 3 3 || exit 1
"$FP" status

heading "two targets announce themselves through the hosts"
start_target rack1 21 dc1 --service storefront --cpu-milli 32000 --memory-mb 64000
start_target rack2 22 dc2 --service storefront --cpu-milli 32000 --memory-mb 64000
wait_until 10 target_is_up rack1 && wait_until 10 target_is_up rack2 || exit 1
"$FP" list targets

heading "an operator creates a team, a key and two queues"
"$FP" team set kapnos --weight 2 --limit-running 40 || exit 1
KEY=$("$FP" key add counter --team kapnos --json | json_value secret)
"$FP" queue set orders --kind service --service storefront || exit 1
"$FP" queue set rolling --kind batch --wait || exit 1

heading "shops order bundles, through different hosts"
for host in 1 2 3; do wait_until 15 queue_is_served $host "$KEY" orders || exit 1; done
call 1 "$KEY" POST orders/price -d '{"bundle":[{"stick":"myrrh","count":20},{"stick":"rose","count":5}]}'; echo
call 2 "$KEY" POST orders/price -d '{"bundle":[{"stick":"cedar","count":100}]}'; echo
call 3 "$KEY" POST orders/price -H 'Idempotency-Key: kiosk-7-0001' -d '{"bundle":[{"stick":"sage","count":12}]}'; echo
echo "-- the same order, resent through another host, gets the first response"
call 1 "$KEY" POST orders/price -H 'Idempotency-Key: kiosk-7-0001' -d '{"bundle":[{"stick":"sage","count":12}]}'; echo
echo "-- without a key"
call 2 "" POST orders/price -d '{}'; echo

heading "a batch job of four tasks"
JOB=$(FILBERTPATH_KEY=$KEY "$FP" submit rolling '{"run_ms": 200}' --count 4 --cpu-milli 1000 --memory-mb 256 --json | json_value id)
wait_until 15 job_task_count_is "$JOB" done 4 || exit 1
"$FP" show "$JOB"
echo "-- journal of the targets (time, event, task, attempt, target)"
cat "$WORK/journal"

heading "a withdrawn key stops working"
"$FP" key withdraw counter --wait >/dev/null
call 2 "$KEY" POST orders/price -d '{}'; echo
