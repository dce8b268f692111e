# A target that takes no connection: what certainly did not run is tried again,
# also an unrepeatable request, on another instance or at another owner; what
# may have run is not. Tried on one host, where one owner holds all instances,
# and on three.
. tests/lib.sh

dead_target() { # announced, with heartbeats, and nobody listens at its address
    until_true 10 curl -sf -H "Authorization: Bearer $TARGET_KEY" "$(http_of 1)/v1/targets/announce" \
        -d '{"name":"dead","run_id":7,"service":"storefront","data_centre":"dc1","address":"'"$(http_of 40)"'","cpu_milli":1000,"memory_mb":1000}' || exit 1
    (while sleep 0.5; do curl -s --max-time 3 -H "Authorization: Bearer $TARGET_KEY" "$(http_of 1)/v1/targets/heartbeat" -d '{"name":"dead","run_id":7,"number":1,"tasks":[]}'; done >/dev/null) &
    PIDS[beats]=$!
}
run_on() { # HOSTS
    begin_cell "$1" "$1" || exit 1
    dead_target
    start_target alive 21 dc2 --service storefront --cpu-milli 4000 --memory-mb 4000
    until_true 10 target_up alive || exit 1
    "$FP" team set kapnos >/dev/null
    "$FP" queue set orders --kind service --service storefront >/dev/null
    KEY=$(new_key counter kapnos)
    for ((host = 1; host <= $1; host++)); do until_true 20 served_on $host "$KEY" orders || exit 1; done
    for i in $(seq 1 60); do
        printf '%s\n' "$(call $((i % $1 + 1)) "$KEY" POST orders/price -d '{"bundle":[{"stick":"myrrh","count":1}]}' -H "Idempotency-Key: k$i")"
    done | sort | uniq -c | sed 's/^ *//'
    dead_hit() { [ "$(for ((h = 1; h <= $1; h++)); do on $h dump --json | value retries; done | awk '{s += $1} END {print s}')" -ge 1 ]; }
    must_reach "some were tried again" 10 dead_hit "$1"
    for name in "${!PIDS[@]}"; do kill_it "$name"; done
}
say "one host"
run_on 1
say "three hosts"
rm -rf "$WORK"/h?
BASE_PORT=$((BASE_PORT + 60))
run_on 3
