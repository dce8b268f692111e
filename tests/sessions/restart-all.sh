# All hosts are killed and restarted twice after 500 changes and some snapshots:
# no accepted change is lost and no version decreases.
. tests/lib.sh
start_cell 3 3 'snapshot_entries: 120' || exit 1

submit_changes() { # FROM TO: each must be accepted
    local i body
    for ((i = $1; i <= $2; i++)); do
        body="{\"name\":\"team$((i % 40))\",\"limit_running\":$i,\"change_id\":\"c$i\"}"
        wait_until 20 curl -sf --max-time 5 -H "Authorization: Bearer $OPERATOR_KEY" -d "$body" \
            "$(http_address $((i % 3 + 1)))/v1/config/team" || echo "change $i was not accepted"
    done
}
teams_digest() { on_host "$1" list team --json | grep -E '"(name|limit_running|version)"' | md5sum; }
config_version() { on_host "$1" status --json | json_value config_version; }

submit_changes 1 500
expect_state "snapshots were taken" 5 sh -c "ls $WORK/h1 | grep -q snap-"
TEAMS_BEFORE=$(teams_digest 1)
VERSION_BEFORE=$(config_version 1)
for round in 1 2; do
    heading "all hosts are killed, round $round"
    for host in 1 2 3; do signal_process h$host; done
    for host in 1 2 3; do start_host $host; done
    expect_state "a host leads" 20 has_leader
    for host in 1 2 3; do
        expect_state "h$host is up to date" 20 is_fresh $host
        [ "$(teams_digest $host)" = "$TEAMS_BEFORE" ] && echo "h$host has all 500 changes"
        [ "$(config_version $host)" -ge "$VERSION_BEFORE" ] && echo "its version did not decrease"
    done
done
submit_changes 501 520
[ "$(config_version 2)" -gt "$VERSION_BEFORE" ] && echo "new changes get higher versions"
data_file_counts() { ls "$WORK/h1" | sed 's/-.*//' | sort | uniq -c | sed 's/^ *//'; }
data_file_counts
