# The hosts of one machine are one asker each to the placement policy: queries come
# from the host's own address.
. tests/platform/lib.sh
NO_POLICY="$CORES 127.0.0.5"
start_fleet
python3 tests/platform/askers.py "127.0.0.9:$((BASE_PORT + 9))" >"$WORK/askers" &
PIDS[askers]=$!
start_targets --count 6 --seconds 14 --seed 8
configure --version 1
expect_state "the front end is ready" 10 is_ready 127.0.0.5
submit_jobs --count 40 --gap 0.01 --seed 3 --patience 20
kill "${PIDS[askers]}"
wait_for_exit askers
wait_for_exit targets
cat "$WORK/askers" "$WORK/targets"
