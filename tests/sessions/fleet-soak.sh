# Two seeds of the randomized soak; it says itself what it found.
FP=${FP:-build/filbertpath} python3 tests/platform/soak.py --seed 1 --seconds 10 --port "$BASE_PORT" 2>/dev/null | sed 's/: .* starts, /: /'
FP=${FP:-build/filbertpath} python3 tests/platform/soak.py --seed 7 --seconds 10 --port "$BASE_PORT" 2>/dev/null | sed 's/: .* starts, /: /'
