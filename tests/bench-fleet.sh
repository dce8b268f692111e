#!/usr/bin/env bash
# bench-fleet.sh -- CPU time and bytes sent by the leader and a front end for one
# status query, one read of the configuration, and one submission with its runs;
# measured on real processes.
cd "$(dirname "$0")/.." || exit 1
. tests/platform/lib.sh
start_fleet
start_targets --count 8 --seconds 60
configure >/dev/null
wait_until 10 is_ready 127.0.0.5 || exit 1
sleep 2
HOST=$(leader)
cpu_ticks() { awk '{print $14 + $15}' "/proc/${PIDS[$1]}/stat"; } # of 10 ms
sent_bytes() { metric "$1" bus_sent_bytes_total; }
start_measurement() { LEADER_TICKS=$(cpu_ticks "$HOST") FRONT_TICKS=$(cpu_ticks 127.0.0.5) LEADER_BYTES=$(sent_bytes "$HOST") FRONT_BYTES=$(sent_bytes 127.0.0.5) START_SECONDS=$SECONDS; }
end_measurement() { # TEXT COUNT: prints the cost of one of COUNT operations
    local idle_leader=$(((SECONDS - START_SECONDS) * IDLE_LEADER / 10)) idle_front=$(((SECONDS - START_SECONDS) * IDLE_FRONT / 10))
    echo "$1: leader $((($(cpu_ticks "$HOST") - LEADER_TICKS - idle_leader) * 10000 / $2)) us, front end $((($(cpu_ticks 127.0.0.5) - FRONT_TICKS - idle_front) * 10000 / $2)) us, bytes sent: leader $((($(sent_bytes "$HOST") - LEADER_BYTES) / $2)), front end $((($(sent_bytes 127.0.0.5) - FRONT_BYTES) / $2))"
}
IDLE_LEADER=0 IDLE_FRONT=0
start_measurement
sleep 10
IDLE_LEADER=$(($(cpu_ticks "$HOST") - LEADER_TICKS)) IDLE_FRONT=$(($(cpu_ticks 127.0.0.5) - FRONT_TICKS))
echo "idle: leader $IDLE_LEADER, front end $IDLE_FRONT ticks of 10 ms in 10 s"
submit_jobs --count 1 --seed 50 >/dev/null
for i in $(seq 3000); do echo "url = \"http://$FRONT_END/batches/0000000002faf080\""; echo 'output = /dev/null'; done >"$WORK/urls"
start_measurement
curl -s -H 'Host: shop.example' -H 'Authorization: Bearer key-shops' -K "$WORK/urls"
end_measurement "a status query" 3000
for i in $(seq 3000); do echo "url = \"http://$HOST:$((BASE_PORT + 1))/filbertpath/config\""; echo 'output = /dev/null'; done >"$WORK/urls"
start_measurement
curl -s -K "$WORK/urls"
end_measurement "a read of the configuration at the leader" 3000
start_measurement
STARTS_BEFORE=$(metric "$HOST" starts_total)
submit_jobs --count 300 --gap 0.03 --seed 51 >/dev/null
STARTS=$(($(metric "$HOST" starts_total) - STARTS_BEFORE))
end_measurement "a submission, its status queries and $((STARTS / 300)) starts and ends" 300
for host in $HOST 127.0.0.5; do
    echo "$host: $(sed -n 's/^VmHWM:[[:space:]]*//p' "/proc/${PIDS[$host]}/status") peak resident memory"
done
