# Targets that end each connection with its response, with and without a header that
# says so: more tasks than a target lists ends (500) run on each of them, also beside
# late orders and targets that start again, and under another leader.
. tests/platform/lib.sh
run_jobs() { # JOBS SEED
    submit_jobs --count "$1" --queue /batches/ --tasks 50 --cpu 1000 --ms 60 --gap 0.1 \
        --seed "$2" --patience 40 >"$WORK/jobs" &
    PIDS[jobs]=$!
    sleep 2
    [ "$2" = 11 ] || kill_node "$(leader)"
    wait_for_exit jobs
    cat "$WORK/jobs"
    kill -USR2 "${PIDS[targets]}"
    wait_for_exit targets
    cat "$WORK/targets"
}
start_fleet
start_targets --count 2 --closes --seconds 90 --seed 6
configure --version 1
expect_state "the front end is ready" 10 is_ready 127.0.0.5
run_jobs 40 11
echo "-- late orders, targets that start again, another leader"
start_targets --count 4 --closes --late 0.03 --outlive --restart 1.5 --seconds 90 --seed 7
run_jobs 40 12
