#!/usr/bin/env bash
# bench-route.sh [OPTION...] -- a cell of three hosts, one target, and "bench
# route" against both; then what each host spent.
cd "$(dirname "$0")/.." || exit 1
RAW=1
. tests/lib.sh
begin_cell 3 3 || exit 1
start_target rack1 21 dc1 --service storefront --cpu-milli 4000 --memory-mb 4000
until_true 10 target_up rack1 || exit 1
"$FP" team set kapnos >/dev/null
"$FP" queue set orders --kind service --service storefront >/dev/null
KEY=$(new_key counter kapnos)
for host in 1 2 3; do until_true 15 served_on $host "$KEY" orders || exit 1; done
FILBERTPATH_KEY=$KEY "$FP" bench route --direct "$(http_of 21)" "$@"
for host in 1 2 3; do on $host dump --json | grep -E 'peak_memory_kb|user_us|system_us' | xargs; done
