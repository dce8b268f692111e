# The slots of an instance and the units of a team's limit hold for all hosts
# together, under overload and when the host that owns them is killed. The
# target itself counts its concurrent requests.
. tests/lib.sh
start_cell 4 3 || exit 1
start_target rack1 21 dc1 --service storefront --cpu-milli 4000 --memory-mb 4000 --answer-ms 150
wait_until 10 target_is_up rack1 || exit 1
"$FP" team set kapnos >/dev/null
"$FP" team set small --limit-running 5 >/dev/null
"$FP" queue set orders --kind service --service storefront --request-max-ms 3000 --max-waiting 50 >/dev/null
KEY=$(create_key counter kapnos)
SMALL_KEY=$(create_key kiosk small)
for host in 1 2 3 4; do wait_until 20 queue_is_served $host "$KEY" orders || exit 1; done
max_in_flight_seen() { curl -s "$(http_address 21)/stats" | json_value max_in_flight; }

# flood KEY SECONDS: starts forty concurrent callers that use all hosts.
flood() {
    local c end=$(($(date +%s) + $2)) pids=
    for c in $(seq 1 40); do
        (while [ "$(date +%s)" -lt "$end" ]; do
            host=$((RANDOM % 4 + 1))
            printf '%s\n' "$(call $host "$1" POST orders/echo -d x --max-time 5 | sed -E 's/.*"error":"([a-z-]*)".*/\1/')"
        done >>"$WORK/flood") &
        pids="$pids $!"
    done
    echo "$pids" >"$WORK/flood.pids"
}

heading "limited by slots only: forty callers, and the owner is killed"
flood "$KEY" 6
sleep 2
OWNER=$("$FP" list targets | sed -n 's/.*owner_host=h\([0-9]\).*/\1/p')
signal_process "h$OWNER"
wait $(cat "$WORK/flood.pids")
[ "$(max_in_flight_seen)" -le 8 ] && echo "never more than 8 concurrent requests"
[ "$(max_in_flight_seen)" -ge 2 ] && echo "at least 2 concurrent requests"
start_host "$OWNER"
expect_state "the host is up to date again" 20 is_fresh "$OWNER"
for host in 1 2 3 4; do expect_state "served on h$host again" 30 queue_is_served $host "$KEY" orders; done

heading "limited to 5 units: a new target, and its owner is killed"
signal_process rack1
start_target rack2 22 dc2 --service storefront --cpu-milli 4000 --memory-mb 4000 --answer-ms 150
wait_until 10 target_is_up rack2
max_in_flight_seen() { curl -s "$(http_address 22)/stats" | json_value max_in_flight; }
rack1_is_down() { "$FP" list targets | grep ' name=rack1 ' | grep -q 'state=down'; }
expect_state "the killed target is down" 30 rack1_is_down
for host in 1 2 3 4; do expect_state "the small team is served on h$host" 30 queue_is_served $host "$SMALL_KEY" orders; done
: >"$WORK/flood"
flood "$SMALL_KEY" 6
sleep 2
OWNER=$("$FP" list targets | grep ' name=rack2 ' | sed -n 's/.*owner_host=h\([0-9]\).*/\1/p')
signal_process "h$OWNER"
wait $(cat "$WORK/flood.pids")
[ "$(max_in_flight_seen)" -le 5 ] && echo "never more than 5 concurrent requests"
[ "$(max_in_flight_seen)" -ge 2 ] && echo "at least 2 concurrent requests"
start_host "$OWNER"
expect_state "the host is up to date again" 20 is_fresh "$OWNER"
expect_state "its units were returned: the team is served" 40 queue_is_served "$OWNER" "$SMALL_KEY" orders
grep -vxE 'x|limit|busy|no-target|not-connected|may-have-run|deadline|no-leader|not-fresh|shutting-down|' "$WORK/flood" | sort | uniq -c
echo "only expected responses"
