# Operators change the configuration all the time beside pauses, kills, restarts and cuts
# between hosts; what callers see of it is checked. Prints its own result.
run() { FP=${FP:-build/filbertpath} python3 tests/platform/operators.py --port "$BASE_PORT" --strict "$@" 2>/dev/null; }
run --seed 1 --seconds 8 --faults none --end calm --slow
run --seed 7 --seconds 15 --faults hosts --end kill
