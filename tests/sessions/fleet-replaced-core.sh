# A core host is replaced, the new one first; another one is lost as soon as the old one
# has gone. The cell bears that loss: one that is down, and one that lost its disk.
. tests/platform/lib.sh
NEW=127.0.0.4
add_host() {
    mkdir -p "$WORK/$NEW"
    start_node $NEW false "$WORK/$NEW"
    CORES="$CORES $NEW"
    expect_state "the new host votes" 10 has_voters 4
    # As the hosts' catch_up_s.
    sleep 1
}
has_voters() { # NUMBER: added less removed since the start
    local added removed
    added=$(cat "$WORK"/*.log | grep -c '"event":"member.added"')
    removed=$(cat "$WORK"/*.log | grep -c '"event":"member.removed"')
    [ $((1 + added - removed)) -ge "$1" ]
}
others() { # HOST: those that are neither HOST nor the leader
    for host in $CORES; do [ "$host" != "$1" ] && [ "$host" != "$(leader)" ] && echo "$host"; done
}
remove_host() { # HOST
    CORES=$(for host in $CORES; do [ "$host" = "$1" ] || echo "$host"; done)
    SEEDS=$(for host in $CORES; do echo "$host:$((BASE_PORT + 1))"; done | paste -sd,)
}
start_fleet
start_targets --count 4 --seconds 120 --seed 6
configure --version 1
expect_state "the front end is ready" 10 is_ready 127.0.0.5
add_host

echo "-- one is stopped for good; another one is down right after that"
LEFT=127.0.0.1
kill "${PIDS[$LEFT]}"
wait_for_exit $LEFT
remove_host $LEFT
DOWN=$(others none | head -n 1)
kill_node "$DOWN"
expect_state "a host leads" 3 has_leader
submit_jobs --count 5 --seed 11 --patience 20
start_node "$DOWN" false "$WORK/$DOWN"
expect_state "the front end is ready" 10 is_ready 127.0.0.5
expect_state "three vote" 10 has_voters 3
sleep 1

echo "-- one more joins; the leader is killed for good, and another one's disk is lost with it"
NEW=127.0.0.6
add_host
LEFT=$(leader)
LOST=$(others "$LEFT" | head -n 1)
kill_node "$LEFT"
kill_node "$LOST"
rm -rf "${WORK:?}/$LOST"
mkdir "$WORK/$LOST"
remove_host "$LEFT"
start_node "$LOST" false "$WORK/$LOST"
expect_state "a host leads" 10 has_leader
submit_jobs --count 5 --seed 12 --patience 20
configure --version 2
kill -USR2 "${PIDS[targets]}"
wait_for_exit targets
cat "$WORK/targets"
