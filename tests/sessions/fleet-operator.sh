# Operators change the configuration all the time beside pauses, kills and restarts; what
# callers see of it is checked. Prints its own result.
run() { FP=${FP:-build/filbertpath} python3 tests/platform/operators.py --port "$BASE_PORT" --seconds 12 "$@" 2>/dev/null; }
run --seed 1 --end calm
run --seed 7 --end kill
