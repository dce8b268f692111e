# SIGTERM under load: no request is cut off, slots and units go back, exit 0.
. tests/lib.sh
begin_cell 3 3 'times:\n  drain_ms: 1500' || exit 1
start_target rack1 21 dc1 --service storefront --cpu-milli 4000 --memory-mb 4000 --answer-ms 60
start_target rack2 22 dc2 --service storefront --cpu-milli 4000 --memory-mb 4000 --answer-ms 60
start_target rack3 23 dc3 --service storefront --cpu-milli 4000 --memory-mb 4000 --answer-ms 60
for t in 1 2 3; do until_true 10 target_up rack$t || exit 1; done
"$FP" team set kapnos --limit-running 60 >/dev/null
"$FP" queue set orders --kind service --service storefront >/dev/null
KEY=$(new_key counter kapnos)
for host in 1 2 3; do until_true 15 served_on $host "$KEY" orders || exit 1; done

# Callers behind a balancer that asks for readiness, as the platform's does.
caller() {
    local host=$1 i
    for ((i = 0; i < 120; i++)); do
        while [ "$(curl -s --max-time 2 "$(http_of "$host")/readyz")" != ready ]; do host=$((host % 3 + 1)); done
        call "$host" "$KEY" POST orders/echo -d "order $1 $i" --max-time 20 | sed "s/^order $1 $i\$/its own answer/"
        echo
        host=$((host % 3 + 1))
    done >"$WORK/caller$1"
}
for c in 1 2 3 4 5 6; do caller $c & C="${C:-} $!"; done
sleep 1

for name in "h$(leader)" h$(($(leader) % 3 + 1)); do
    kill_it "$name" TERM
    ends_with "$name"
    start_host "${name#h}"
    must_reach "it is back" 20 is_fresh "${name#h}"
done
wait $C
echo "answers:"
cat "$WORK"/caller? | sort | uniq -c | sed 's/^ *//'
owned_by_live() { # every instance is owned again
    [ "$("$FP" list targets | grep -c 'owner_host=')" = 3 ]
}
must_reach "all slots have an owner" 20 owned_by_live
for t in 21 22 23; do
    MOST=$(curl -s "$(http_of $t)/stats" | value max_in_flight)
    [ "$MOST" -le 8 ] && echo "never more than 8 requests at once"
done
grep -h -c 'took too long' "$WORK"/h?.log | sort -u
