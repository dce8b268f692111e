#!/usr/bin/env bash
# bench-route.sh [OPTION...] -- runs "bench route" against a cell of three hosts
# and directly against its target; then prints CPU time and memory of each host.
cd "$(dirname "$0")/.." || exit 1
RAW=1
. tests/lib.sh
start_cell 3 3 || exit 1
start_target rack1 21 dc1 --service storefront --cpu-milli 4000 --memory-mb 4000
wait_until 10 target_is_up rack1 || exit 1
"$FP" team set kapnos >/dev/null
"$FP" queue set orders --kind service --service storefront >/dev/null
KEY=$(create_key counter kapnos)
for host in 1 2 3; do wait_until 15 queue_is_served $host "$KEY" orders || exit 1; done
FILBERTPATH_KEY=$KEY "$FP" bench route --direct "$(http_address 21)" "$@"
for host in 1 2 3; do on_host $host dump --json | grep -E 'peak_memory_kb|user_us|system_us' | xargs; done
