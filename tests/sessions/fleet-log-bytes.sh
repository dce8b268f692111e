# Large jobs on small disks: a snapshot is taken by the size of the log, long before
# the number of its entries asks for one, and the data folder stays small.
. tests/platform/lib.sh
DISK_MB=8
start_fleet
start_targets --count 6 --seconds 22 --seed 4
configure --version 1
expect_state "the front end is ready" 10 is_ready 127.0.0.5
largest_folder() {
    local largest=0 size
    while kill -0 "${PIDS[jobs]}" 2>/dev/null; do
        for host in $CORES; do
            size=$(du -sb "$WORK/$host" | cut -f 1)
            [ "$size" -gt $largest ] && largest=$size
        done
        sleep 0.05
    done
    echo $largest
}
submit_jobs --count 600 --padding 3900 --gap 0.015 --seed 3 --patience 20 >"$WORK/jobs" &
PIDS[jobs]=$!
LARGEST=$(largest_folder)
wait_for_exit jobs
cat "$WORK/jobs"
for host in $CORES; do
    curl -s "http://$host:$((BASE_PORT + 4))/dump" | grep -q '"snapshots": 0,' &&
        echo "$host took no snapshot"
    [ "$(metric "$host" log_bytes)" -lt 1500000 ] || echo "log: $(metric "$host" log_bytes)"
done
# Two logs and two snapshots fit on the disk.
[ "$LARGEST" -lt 8388608 ] || echo "the largest folder: $LARGEST bytes"
wait_for_exit targets
cat "$WORK/targets"
