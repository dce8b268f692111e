# Hosts start with disks that refuse: they wait, answer meanwhile, and vote once the
# disk takes writes; none ends. A snapshot that finds no room leaves the log in use.
. tests/platform/lib.sh
FAULTY_DISKS=1
SNAPSHOT_ENTRIES=150
start_fleet
start_targets --count 6 --seconds 50 --seed 5
configure --version 1
expect_state "the front end is ready" 10 is_ready 127.0.0.5

for host in $CORES; do set_disk "$host" snapshot; done
submit_jobs --count 100 --gap 0.03 --seed 7 --patience 20
snapshots_fail() { [ "$(metric "$1" snapshot_failures_total)" -gt 0 ]; }
for host in $CORES; do
    expect_state "a snapshot could not be written" 5 snapshots_fail "$host"
    expect_state "the host goes on" 1 disk_is_sound "$host"
done

has_ended() { ! kill -0 "${PIDS[$1]}"; }
for mode in full sync; do
    for host in $CORES; do kill_node "$host"; done
    for host in $CORES; do
        set_disk "$host" $mode
        start_node "$host" false "$WORK/$host"
    done
    two_wait() {
        local waiting=0
        for host in $CORES; do disk_has_failed "$host" && waiting=$((waiting + 1)); done
        [ $waiting -ge 2 ]
    }
    expect_state "a majority waits, $mode" 10 two_wait
    sleep 1
    for host in $CORES; do
        if has_ended "$host"; then echo "$host has ended"; fi
        set_disk "$host" ""
    done
    expect_state "a leader once the disks take writes" 10 has_leader
done

echo "no file can be opened"
kill_node 127.0.0.3
set_disk 127.0.0.3 files
start_node 127.0.0.3 false "$WORK/127.0.0.3"
waits() { grep -q 'waiting for the disk' "$WORK/127.0.0.3.log"; }
expect_state "it waits" 10 waits
if has_ended 127.0.0.3; then echo "127.0.0.3 has ended"; fi
set_disk 127.0.0.3 ""
expect_state "it is ready" 10 is_ready 127.0.0.3

echo "an empty folder on a full disk"
kill_node 127.0.0.2
rm -r "${WORK:?}/127.0.0.2"
set_disk 127.0.0.2 full
start_node 127.0.0.2 false "$WORK/127.0.0.2"
expect_state "it waits" 10 disk_has_failed 127.0.0.2
sleep 2
if has_ended 127.0.0.2; then echo "127.0.0.2 has ended"; fi
set_disk 127.0.0.2 ""
expect_state "its disk is sound" 10 disk_is_sound 127.0.0.2
votes() { # HOST: on the leader, the host is a voter
    curl -s "http://$(leader):$((BASE_PORT + 4))/dump" | tr -d ' \n' |
        grep -q "\"host\":\"$1\",\"role\":\"voter\""
}
expect_state "it votes" 10 votes 127.0.0.2
submit_jobs --count 20 --gap 0.05 --seed 9 --patience 20
wait_for_exit targets
cat "$WORK/targets"
