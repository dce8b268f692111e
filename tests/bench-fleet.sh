#!/usr/bin/env bash
# bench-fleet.sh -- processor time and bytes of one status query, one read of
# the configuration, one submission with its runs, on real processes.
cd "$(dirname "$0")/.." || exit 1
. tests/platform/lib.sh
start_fleet
targets --count 8 --seconds 60
configure >/dev/null
until_true 10 is_ready 127.0.0.5 || exit 1
sleep 2
HOST=$(leader)
ticks() { awk '{print $14 + $15}' "/proc/${PID[$1]}/stat"; } # 10 ms each
bytes() { metric "$1" bus_sent_bytes_total; }
begin() { L=$(ticks "$HOST") F=$(ticks 127.0.0.5) LB=$(bytes "$HOST") FB=$(bytes 127.0.0.5) T=$SECONDS; }
end() { # WHAT COUNT
    local idle=$(((SECONDS - T) * IDLE_L / 10)) idle_front=$(((SECONDS - T) * IDLE_F / 10))
    echo "$1: leader $((($(ticks "$HOST") - L - idle) * 10000 / $2)) us, front $((($(ticks 127.0.0.5) - F - idle_front) * 10000 / $2)) us, bytes leader $((($(bytes "$HOST") - LB) / $2)), front $((($(bytes 127.0.0.5) - FB) / $2))"
}
IDLE_L=0 IDLE_F=0
begin
sleep 10
IDLE_L=$(($(ticks "$HOST") - L)) IDLE_F=$(($(ticks 127.0.0.5) - F))
echo "idle: leader $IDLE_L, front $IDLE_F hundredths of a second in 10 s"
jobs_in --count 1 --seed 50 >/dev/null
for i in $(seq 3000); do echo "url = \"http://$FRONT/batches/0000000002faf080\""; echo 'output = /dev/null'; done >"$WORK/urls"
begin
curl -s -H 'Host: shop.example' -H 'Authorization: Bearer key-shops' -K "$WORK/urls"
end "a status query" 3000
for i in $(seq 3000); do echo "url = \"http://$HOST:$((BASE_PORT + 1))/filbertpath/config\""; echo 'output = /dev/null'; done >"$WORK/urls"
begin
curl -s -K "$WORK/urls"
end "a read of the configuration at the leader" 3000
begin
S=$(metric "$HOST" starts_total)
jobs_in --count 300 --gap 0.03 --seed 51 >/dev/null
STARTS=$(($(metric "$HOST" starts_total) - S))
end "a submission, its status queries and $((STARTS / 300)) starts and ends" 300
for host in $HOST 127.0.0.5; do
    echo "$host: $(sed -n 's/^VmHWM:[[:space:]]*//p' "/proc/${PID[$host]}/status") at most resident"
done
