# All hosts lose power just after an acknowledgement, and with it all that was not synced;
# in all but the first run one of them its disk too; in the last one it is the first seed,
# whose settings let it found a cell. Data folders are created by the hosts. Prints its own
# result.
run() { FP=${FP:-build/filbertpath} python3 tests/platform/operators.py --port "$BASE_PORT" "$@" 2>/dev/null; }
run --seed 3 --seconds 4 --faults none --end power
run --seed 4 --seconds 4 --faults none --end wipe
run --seed 6 --seconds 12 --faults power --end wipe --snapshot-entries 100
run --seed 24 --seconds 4 --faults none --end wipe --wiped 127.0.0.1 --first-start
