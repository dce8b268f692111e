# lib.sh -- a fleet of real processes on loopback: three core hosts, one front
# and stand-ins. Every process that is started is ended by its ID.
STANDIN=$(dirname "${BASH_SOURCE[0]}")/standin.py
CORES="127.0.0.1 127.0.0.2 127.0.0.3"
CONTROL="127.0.0.1:18688,127.0.0.2:18688,127.0.0.3:18688"
FRONT="127.0.0.5:18686"
declare -A PID

settings() { # HOST FIRST_START [DATA_FOLDER]
    echo "host: \"$1\""
    [ -n "${3:-}" ] && echo "data_folder: \"$3\""
    cat <<YAML
snapshot_entries: ${SNAPSHOT_ENTRIES:-20000}
log: {format: json, level: notice}
times: {heartbeat_ms: 100, election_min_ms: 700, election_max_ms: 1400, fresh_ms: 1500}
fleet:
  $([ -n "${3:-}" ] && echo "control: \"$1:18688\"" || echo "clients: \"$1:18686\"")
  readiness: "$1:18689"
  metrics: "$1:18465"
  advice: "127.0.0.9:18683"
  data_centre: "z1"
  first_start: $2
  bus_port: 17180
  lease_ms: 6000
  stop_ms: 900
  gang_ms: 3000
  drain_ms: 2000
  grace_ms: 6000
  keep_ms: 120000
  far_permille: 1500
  restore_ms: 100
  harm_ms: 4000
  seeds: ["127.0.0.1:18688", "127.0.0.2:18688", "127.0.0.3:18688"]
YAML
}

start_node() { # HOST FIRST_START [DATA_FOLDER]
    settings "$@" >"$WORK/$1.yaml"
    "$FP" node "$WORK/$1.yaml" >>"$WORK/$1.log" 2>&1 &
    PID[$1]=$!
}

start_fleet() {
    for host in $CORES; do
        mkdir -p "$WORK/$host"
        start_node "$host" true "$WORK/$host"
    done
    start_node 127.0.0.5 false
}

metric() { # HOST NAME
    curl -s -m 2 "http://$1:18465/metrics" | sed -n "s/^filbertpath_$2 //p"
}

leader() {
    for host in $CORES; do
        [ "$(metric "$host" leads)" = 1 ] && echo "$host"
    done | head -n 1
}

stop_all() {
    for name in "${!PID[@]}"; do
        kill "${PID[$name]}" 2>/dev/null
    done
    for name in "${!PID[@]}"; do
        wait "${PID[$name]}" 2>/dev/null
    done
}
