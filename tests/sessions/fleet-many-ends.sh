# Hundreds of tasks end on one target at the same time, which lists 500 ends at a time:
# under one leader, and while all core hosts are being started again. No task starts
# again after it has ended.
. tests/platform/lib.sh
start_fleet
start_targets --count 1 --seconds 90 --seed 6
configure --version 1
expect_state "the front end is ready" 10 is_ready 127.0.0.5
has_starts() { [ "$(metric "$(leader)" starts_total)" -ge "$1" ]; }
start_burst() { # SEED
    UNTIL_MS=$(($(date +%s%3N) + 12000))
    submit_jobs --count 14 --queue /batches/ --tasks 50 --cpu 22 --until-ms $UNTIL_MS \
        --gap 0.05 --seed "$1" --patience 40 >"$WORK/jobs" &
    PIDS[jobs]=$!
}
end_burst() {
    wait_for_exit jobs
    cat "$WORK/jobs"
}
start_burst 11
expect_state "all tasks of the first burst run" 11 has_starts 700
end_burst
start_burst 12
expect_state "all tasks of the second burst run" 11 has_starts 1400
wait_for_time() { while [ "$(date +%s%3N)" -lt "$1" ]; do sleep 0.01; done; }
wait_for_time $((UNTIL_MS - 300))
for host in $CORES; do kill_node "$host"; done
sleep 0.7
for host in $CORES; do start_node "$host" false "$WORK/$host"; done
end_burst
kill -USR2 "${PIDS[targets]}"
wait_for_exit targets
cat "$WORK/targets"
