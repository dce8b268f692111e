# SIGSTOP of the leader past every lease, then SIGCONT. Meanwhile a key is
# withdrawn and work goes on; the paused host must act on nothing it knew.
. tests/lib.sh
begin_cell 3 3 'times:\n  task_lease_ms: 3000' || exit 1
start_target rack1 21 dc1 --service storefront --cpu-milli 4000 --memory-mb 4000
start_target rack2 22 dc2 --service storefront --cpu-milli 4000 --memory-mb 4000
until_true 10 target_up rack1 && until_true 10 target_up rack2 || exit 1
"$FP" team set kapnos >/dev/null
"$FP" queue set rolling --kind batch >/dev/null
"$FP" queue set orders --kind service --service storefront >/dev/null
KEY=$(new_key counter kapnos)
LATE=$(new_key late kapnos)
for host in 1 2 3; do until_true 15 served_on $host "$LATE" orders || exit 1; done
JOB=$(submit_job "$KEY" rolling 4 '{"run_ms": 9000}')
until_true 10 job_state_is "$JOB" running 4 || exit 1

say "the leader stops"
OLD=$(leader)
kill_it "h$OLD" STOP
LIVE=$((OLD % 3 + 1))
export FILBERTPATH_HOSTS=$(http_of $LIVE),$(http_of $((LIVE % 3 + 1)))
[ $((LIVE % 3 + 1)) = "$OLD" ] && export FILBERTPATH_HOSTS=$(http_of $LIVE),$(http_of $(((LIVE + 1) % 3 + 1)))
must_reach "another host leads" 15 has_leader
must_reach "the key is withdrawn" 15 "$FP" key withdraw late
LATER=$(submit_job "$KEY" rolling 2 '{"run_ms": 200}' --timeout-ms 20000)
must_reach "new work runs" 30 job_state_is "$LATER" done 2

say "requests lie in the paused host's sockets, with the withdrawn key"
for i in 1 2 3 4 5; do answer_code "$OLD" "$LATE" POST orders/echo -d x --max-time 20 >"$WORK/code$i" & P="${P:-} $!"; done
sleep 1
kill_it "h$OLD" CONT
wait $P
echo "accepted: $(grep -l 200 "$WORK"/code? | grep -c .)"
must_reach "it follows again" 20 is_fresh "$OLD"
echo "withdrawn key on it: $(answer_code "$OLD" "$LATE" POST orders/echo -d x)"
echo "granted key on it: $(answer_code "$OLD" "$KEY" POST orders/echo -d x)"
must_reach "the first job ends too" 60 job_state_is "$JOB" done 4
echo "doubled: $(doubled_tasks)"
leaders() { "$FP" status --json | grep -c '"is_leader": true'; }
echo "leaders: $(FILBERTPATH_HOSTS=$HOSTS leaders)"
