# Targets stop answering for some seconds and run on, one after the other, and the
# leader is killed in between. A target gets no start between the record of its
# outage and that of its end, all jobs complete, and no task runs twice.
. tests/platform/lib.sh
start_fleet
start_targets --count 8 --seconds 30 --deaf 3 --seed 6
configure --version 1
expect_state "the front end is ready" 10 is_ready 127.0.0.5
submit_jobs --count 200 --gap 0.08 --seed 11 --patience 40 >"$WORK/jobs" &
PIDS[jobs]=$!
has_outages() { [ "$(grep -h '"target.outage"' "$WORK"/*.log | grep -c '"over":0')" -ge "$1" ]; }
expect_state "an outage is recorded" 12 has_outages 1
expect_state "another one is recorded" 12 has_outages 2
HOST=$(leader)
kill_node "$HOST"
expect_state "another host leads" 10 has_leader
start_node "$HOST" false "$WORK/$HOST"
expect_state "it records outages too" 15 has_outages 4
wait_for_exit jobs
cat "$WORK/jobs"
wait_for_exit targets
cat "$WORK/targets"
for host in $CORES; do
    sed -nE 's/.*"event":"target.outage","id":"([^"]*)","over":([01]).*/outage \1 \2/p;
        s/.*"event":"run.ordered".*"target":"([^"]*)".*/start \1/p' "$WORK/$host.log" |
        awk '$1 == "outage" { out[$2] = $3 == 0 } $1 == "start" && out[$2] { early++ }
            END { print "starts within an outage: " early + 0 }'
done
