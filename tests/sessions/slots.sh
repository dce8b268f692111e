# Slots of an instance and units of a team's limit, from all hosts together,
# under overload and over the death of the process that holds them: the target
# itself counts how many requests it had at once.
. tests/lib.sh
begin_cell 4 3 || exit 1
start_target rack1 21 dc1 --service storefront --cpu-milli 4000 --memory-mb 4000 --answer-ms 150
until_true 10 target_up rack1 || exit 1
"$FP" team set kapnos >/dev/null
"$FP" team set small --limit-running 5 >/dev/null
"$FP" queue set orders --kind service --service storefront --request-max-ms 3000 --max-waiting 50 >/dev/null
KEY=$(new_key counter kapnos)
SMALL=$(new_key kiosk small)
for host in 1 2 3 4; do until_true 20 served_on $host "$KEY" orders || exit 1; done
most() { curl -s "$(http_of 21)/stats" | value max_in_flight; }

# flood KEY SECONDS: forty callers at once through all live hosts.
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

say "no limit but the slots: forty callers, and the owner dies amid them"
flood "$KEY" 6
sleep 2
OWNER=$("$FP" list targets | sed -n 's/.*owner_host=h\([0-9]\).*/\1/p')
kill_it "h$OWNER"
wait $(cat "$WORK/flood.pids")
[ "$(most)" -le 8 ] && echo "never more than 8 at once"
[ "$(most)" -ge 2 ] && echo "and several were used"
start_host "$OWNER"
must_reach "the host is back" 20 is_fresh "$OWNER"
for host in 1 2 3 4; do must_reach "served on h$host again" 30 served_on $host "$KEY" orders; done

say "a limit of 5 units, a fresh target, and the holder dies again"
kill_it rack1
start_target rack2 22 dc2 --service storefront --cpu-milli 4000 --memory-mb 4000 --answer-ms 150
until_true 10 target_up rack2
most() { curl -s "$(http_of 22)/stats" | value max_in_flight; }
gone() { "$FP" list targets | grep ' name=rack1 ' | grep -q 'state=down'; }
must_reach "the dead target is found down" 30 gone
for host in 1 2 3 4; do must_reach "the small team is served on h$host" 30 served_on $host "$SMALL" orders; done
: >"$WORK/flood"
flood "$SMALL" 6
sleep 2
OWNER=$("$FP" list targets | grep ' name=rack2 ' | sed -n 's/.*owner_host=h\([0-9]\).*/\1/p')
kill_it "h$OWNER"
wait $(cat "$WORK/flood.pids")
[ "$(most)" -le 5 ] && echo "never more than 5 at once"
[ "$(most)" -ge 2 ] && echo "and several were used"
start_host "$OWNER"
must_reach "the host is back" 20 is_fresh "$OWNER"
must_reach "its units came back: the team is served" 40 served_on "$OWNER" "$SMALL" orders
grep -vxE 'x|limit|busy|no-target|not-connected|may-have-run|deadline|no-leader|not-fresh|shutting-down|' "$WORK/flood" | sort | uniq -c
echo "only known answers"
