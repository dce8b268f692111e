# Two data centres, z1 and z2; all hosts are in z1. z2 is evacuated: an order for
# an unknown data centre is refused, an order without an answer is sent again, the
# leader is killed right after an acknowledgement, a host that was down catches up
# from a snapshot. The targets check that no run starts in z2 until the order is
# withdrawn; then z2 takes work again.
SNAPSHOT_ENTRIES=300
. tests/platform/lib.sh
CONTROLS=$SEEDS
evacuation() { "$FP" evacuation --hosts "$CONTROLS" --timeout-ms "${T:-5000}" "$@" 2>&1; }
starts_in() { # ZONE: starts that the leaders ordered on its targets so far
    local digits=02468
    [ "$1" = z2 ] && digits=13579
    cat "$WORK"/*.log | grep '"event":"run.ordered"' | grep -c "\"target\":\"t-..[$digits]\""
}
z2_has_more_than() { [ "$(starts_in z2)" -gt "$1" ]; }
evacuated_on() { # COUNT: on so many hosts the gauge of z2 is 1
    local count=0
    for host in $CORES; do
        [ "$(metric "$host" 'evacuated{data_centre="z2"}')" = 1 ] && count=$((count + 1))
    done
    [ $count = "$1" ]
}

start_fleet
start_targets --count 10 --zones 2 --seconds 55 --late 0.02 --lost 0.03 --seed 11 \
    --evacuated "$WORK/evacuated"
configure --version 1
expect_state "the front end is ready" 10 is_ready 127.0.0.5
evacuation order z9 | grep -o 'not-found'
evacuation list
submit_jobs --count 200 --gap 0.12 --seed 3 --patience 60 >"$WORK/jobs" &
PIDS[jobs]=$!
expect_state "z2 has work" 20 z2_has_more_than 5

# The same order twice, as after a lost answer: nobody reads the first one.
T=1 evacuation order z2 >/dev/null
evacuation order z2 && echo "ordered"
echo "z2 $(date +%s.%N)" >"$WORK/evacuated"
HOST=$(leader)
kill_node "$HOST"
CONTROLS=$(echo "$SEEDS" | tr , '\n' | grep -v "^$HOST:" | paste -sd,)
expect_state "another host leads after a kill" 10 has_leader
expect_state "both hosts keep the evacuation" 5 evacuated_on 2
evacuation list --json | grep -o '"data_centre": "z2"'
sleep 1
BEFORE=$(starts_in z2)
sleep 4
[ "$(starts_in z2)" = "$BEFORE" ] && echo "no start in z2"
[ "$(starts_in z1)" -gt 20 ] && echo "z1 has work"
start_node "$HOST" true "$WORK/$HOST"
expect_state "the host that was down has it too" 10 evacuated_on 3
sleep 2
[ "$(starts_in z2)" = "$BEFORE" ] && echo "no start in z2"

rm "$WORK/evacuated"
[ "$(starts_in z2)" = "$BEFORE" ] && echo "no start in z2 until the withdrawal"
evacuation withdraw z2 && echo "withdrawn"
evacuation withdraw z2 && echo "withdrawn again"
evacuation list
expect_state "z2 has work again" 20 z2_has_more_than "$BEFORE"
wait_for_exit jobs
echo "accepted jobs that are not completed: $(grep -cvE '^(completed|status)' "$WORK/jobs")"
wait_for_exit targets
cat "$WORK/targets"
