# The randomized soak test with two seeds; prints its own result.
FP=${FP:-build/filbertpath} python3 tests/platform/soak.py --seed 1 --seconds 10 --port "$BASE_PORT" 2>/dev/null | sed 's/: .* starts, /: /'
FP=${FP:-build/filbertpath} python3 tests/platform/soak.py --seed 7 --seconds 10 --port "$BASE_PORT" 2>/dev/null | sed 's/: .* starts, /: /'
