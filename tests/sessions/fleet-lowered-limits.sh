# Operators lower the number of attempts to what waiting tasks have used up: their jobs
# fail, also where the leader is lost with the change. Targets on which all runs fail,
# with room for 4 of 30 jobs at a time.
. tests/platform/lib.sh
failed_runs() { cat "$WORK"/*.log | grep '"run.ended"' | grep -c '"how":"failed"'; }
have_failed() { [ "$(failed_runs)" -ge "$1" ]; }
have_ended() { ! kill -0 "${PIDS[jobs]}"; }
run_jobs() { # SEED VERSION TEXT [COMMAND]
    configure --version "$2" --max-attempts 100
    submit_jobs --count 30 --queue /batches/ --tasks 1 --cpu 8000 --ms 100 --seed "$1" \
        --patience 40 >"$WORK/jobs" &
    PIDS[jobs]=$!
    expect_state "runs have failed" 30 have_failed $(($(failed_runs) + 150))
    configure --version $(($2 + 1)) --max-attempts 1
    ${4:-true}
    expect_state "$3" 30 have_ended
    wait_for_exit jobs
    cat "$WORK/jobs"
}
lose_leader() { kill_node "$(leader)"; }
start_fleet
start_targets --count 2 --failures 1 --seconds 90 --seed 3
configure --version 1
expect_state "the front end is ready" 10 is_ready 127.0.0.5
run_jobs 21 2 "all jobs have ended"
echo "-- the leader is lost"
run_jobs 22 4 "all jobs have ended under another leader" lose_leader
cat "$WORK"/*.log | grep -q '"task.used_up"' && echo "tasks in wait were given up"
kill -USR2 "${PIDS[targets]}"
wait_for_exit targets
cat "$WORK/targets"
