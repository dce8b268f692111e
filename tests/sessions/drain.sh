# SIGTERM under load: no request is lost, slots and units are returned, and the
# process exits with 0.
. tests/lib.sh
start_cell 3 3 'times:\n  drain_ms: 1500' || exit 1
start_target rack1 21 dc1 --service storefront --cpu-milli 4000 --memory-mb 4000 --answer-ms 60
start_target rack2 22 dc2 --service storefront --cpu-milli 4000 --memory-mb 4000 --answer-ms 60
start_target rack3 23 dc3 --service storefront --cpu-milli 4000 --memory-mb 4000 --answer-ms 60
for t in 1 2 3; do wait_until 10 target_is_up rack$t || exit 1; done
"$FP" team set kapnos --limit-running 60 >/dev/null
"$FP" queue set orders --kind service --service storefront >/dev/null
KEY=$(create_key counter kapnos)
for host in 1 2 3; do wait_until 15 queue_is_served $host "$KEY" orders || exit 1; done

# Callers choose a host by /readyz, as the platform's load balancer does.
caller() {
    local host=$1 i
    for ((i = 0; i < 120; i++)); do
        while [ "$(curl -s --max-time 2 "$(http_address "$host")/readyz")" != ready ]; do host=$((host % 3 + 1)); done
        call "$host" "$KEY" POST orders/echo -d "order $1 $i" --max-time 20 | sed "s/^order $1 $i\$/own response/"
        echo
        host=$((host % 3 + 1))
    done >"$WORK/caller$1"
}
for c in 1 2 3 4 5 6; do caller $c & CALLERS="${CALLERS:-} $!"; done
sleep 1

for name in "h$(leader)" h$(($(leader) % 3 + 1)); do
    signal_process "$name" TERM
    print_exit_code "$name"
    start_host "${name#h}"
    expect_state "the host is up to date again" 20 is_fresh "${name#h}"
done
wait $CALLERS
echo "responses:"
cat "$WORK"/caller? | sort | uniq -c | sed 's/^ *//'
all_instances_owned() {
    [ "$("$FP" list targets | grep -c 'owner_host=')" = 3 ]
}
expect_state "every instance has an owner" 20 all_instances_owned
for t in 21 22 23; do
    MAX_IN_FLIGHT=$(curl -s "$(http_address $t)/stats" | json_value max_in_flight)
    [ "$MAX_IN_FLIGHT" -le 8 ] && echo "never more than 8 concurrent requests"
done
grep -h -c 'took too long' "$WORK"/h?.log | sort -u
