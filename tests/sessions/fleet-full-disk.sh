# The disks of core hosts refuse or hang, one after the other and two at once. Each
# host votes again once its disk takes writes, without a restart, so that the loss of
# another host's disk afterwards leaves a majority.
. tests/platform/lib.sh
FAULTY_DISKS=1
SNAPSHOT_ENTRIES=300
start_fleet
start_targets --count 6 --seconds 48 --seed 4
configure --version 1
expect_state "the front end is ready" 10 is_ready 127.0.0.5
submit_jobs --count 60 --gap 0.3 --seed 3 --patience 40 >"$WORK/jobs" &
PIDS[jobs]=$!

fail_disk() { # HOST MODE SECONDS
    set_disk "$1" "$2"
    sleep "$3"
    set_disk "$1" ""
}
for mode in full sync files stall; do
    for host in $CORES; do fail_disk "$host" $mode 0.4; done
    for host in $CORES; do wait_until 10 disk_is_sound "$host"; done
    expect_state "a leader after a round of: $mode" 10 has_leader
done

set_disk 127.0.0.1 full
set_disk 127.0.0.3 full
no_leader() { ! has_leader; }
expect_state "no leader while two disks are full" 10 no_leader
sleep 1.5
curl -s -m 2 -o /dev/null -w 'a call meanwhile: %{http_code}\n' -H 'Host: shop.example' \
    -H 'Authorization: Bearer key-shops' "http://$FRONT_END/quotes/"
set_disk 127.0.0.1 ""
set_disk 127.0.0.3 ""
expect_state "a leader again" 10 has_leader
for host in $CORES; do expect_state "the disk is sound" 10 disk_is_sound "$host"; done

echo "a host loses its disk"
kill_node 127.0.0.2
rm -r "${WORK:?}/127.0.0.2"
start_node 127.0.0.2 false "$WORK/127.0.0.2"
expect_state "a leader without it" 10 has_leader
expect_state "the host is ready" 10 is_ready 127.0.0.2
configure --version 2
wait_for_exit jobs
cat "$WORK/jobs"
wait_for_exit targets
cat "$WORK/targets"
for host in $CORES; do
    config_is_read() {
        curl -s -m 2 "http://$host:$((BASE_PORT + 1))/filbertpath/config" | grep -q '"version": *2'
    }
    expect_state "the configuration is in force" 5 config_is_read
    kill -0 "${PIDS[$host]}" || echo "$host has ended"
done
