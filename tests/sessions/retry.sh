# A target that refuses connections: a request that certainly did not run is
# retried on another instance or at another owner, even if it is not repeatable;
# one that may have run is not (see bad-target.sh). Runs with one host, which
# owns all instances, and with three.
. tests/lib.sh

announce_dead_target() { # sends heartbeats, but nothing listens at its address
    wait_until 10 curl -sf -H "Authorization: Bearer $TARGET_KEY" "$(http_address 1)/v1/targets/announce" \
        -d '{"name":"dead","run_id":7,"service":"storefront","data_centre":"dc1","address":"'"$(http_address 40)"'","cpu_milli":1000,"memory_mb":1000}' || exit 1
    (while sleep 0.5; do curl -s --max-time 3 -H "Authorization: Bearer $TARGET_KEY" "$(http_address 1)/v1/targets/heartbeat" -d '{"name":"dead","run_id":7,"number":1,"tasks":[]}'; done >/dev/null) &
    PIDS[heartbeats]=$!
}
run_with_hosts() { # COUNT
    start_cell "$1" "$1" || exit 1
    announce_dead_target
    start_target alive 21 dc2 --service storefront --cpu-milli 4000 --memory-mb 4000
    wait_until 10 target_is_up alive || exit 1
    "$FP" team set kapnos >/dev/null
    "$FP" queue set orders --kind service --service storefront >/dev/null
    KEY=$(create_key counter kapnos)
    for ((host = 1; host <= $1; host++)); do wait_until 20 queue_is_served $host "$KEY" orders || exit 1; done
    for i in $(seq 1 60); do
        printf '%s\n' "$(call $((i % $1 + 1)) "$KEY" POST orders/price -d '{"bundle":[{"stick":"myrrh","count":1}]}' -H "Idempotency-Key: k$i")"
    done | sort | uniq -c | sed 's/^ *//'
    some_retried() { [ "$(for ((h = 1; h <= $1; h++)); do on_host $h dump --json | json_value retries; done | awk '{s += $1} END {print s}')" -ge 1 ]; }
    expect_state "some requests were retried" 10 some_retried "$1"
    for name in "${!PIDS[@]}"; do signal_process "$name"; done
}
heading "one host"
run_with_hosts 1
heading "three hosts"
rm -rf "$WORK"/h?
BASE_PORT=$((BASE_PORT + 60))
run_with_hosts 3
