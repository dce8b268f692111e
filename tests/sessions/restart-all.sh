# All processes die after 500 changes, twice, over snapshots: every accepted
# change is there, and no version goes back.
. tests/lib.sh
begin_cell 3 3 'snapshot_entries: 120' || exit 1

changes() { # changes FROM TO: each must be accepted
    local i body
    for ((i = $1; i <= $2; i++)); do
        body="{\"name\":\"team$((i % 40))\",\"limit_running\":$i,\"change_id\":\"c$i\"}"
        until_true 20 curl -sf --max-time 5 -H "Authorization: Bearer $OPERATOR_KEY" -d "$body" \
            "$(http_of $((i % 3 + 1)))/v1/config/team" || echo "change $i was not accepted"
    done
}
teams() { on "$1" list team --json | grep -E '"(name|limit_running|version)"' | md5sum; }
version() { on "$1" status --json | value config_version; }

changes 1 500
must_reach "snapshots were taken" 5 sh -c "ls $WORK/h1 | grep -q snap-"
BEFORE=$(teams 1)
OLD=$(version 1)
for round in 1 2; do
    say "kill -9 of all, round $round"
    for host in 1 2 3; do kill_it h$host; done
    for host in 1 2 3; do start_host $host; done
    must_reach "a host leads" 20 has_leader
    for host in 1 2 3; do
        must_reach "h$host is fresh" 20 is_fresh $host
        [ "$(teams $host)" = "$BEFORE" ] && echo "h$host has all 500 changes"
        [ "$(version $host)" -ge "$OLD" ] && echo "its version did not go back"
    done
done
changes 501 520
[ "$(version 2)" -gt "$OLD" ] && echo "and versions go on"
files() { ls "$WORK/h1" | sed 's/-.*//' | sort | uniq -c | sed 's/^ *//'; }
files
