# The randomized soak test with gangs, half of which never fit, and a placement policy
# that takes all hosts for one asker, or each for one; prints its own result.
soak() { # SECONDS TURNS
    FP=${FP:-build/filbertpath} python3 tests/platform/soak.py --seed 14 --seconds "$1" \
        --turns "$2" --port "$BASE_PORT" 2>/dev/null | sed 's/: .* starts, /: /'
}
soak 20 shared
soak 12 own
