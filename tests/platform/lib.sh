# lib.sh -- a fleet of real processes on loopback: three core hosts, one front
# and stand-ins. Every process that is started is ended by its ID. A step waits
# for a state with a bound, never for a time.
set -u
export G_DEBUG=fatal-criticals
FP=${FP:-build/filbertpath}
BASE_PORT=${BASE_PORT:-17100}
STANDIN=tests/platform/standin.py
WORK=$(mktemp -d "${TMPDIR:-/tmp}/filbertpath.XXXXXX")
CORES="127.0.0.1 127.0.0.2 127.0.0.3"
SEEDS=
for host in $CORES; do SEEDS=$SEEDS${SEEDS:+,}$host:$((BASE_PORT + 1)); done
FRONT=127.0.0.5:$((BASE_PORT + 2))
declare -A PID

settings() { # HOST FIRST_START [DATA_FOLDER]
    echo "host: \"$1\""
    [ -n "${3:-}" ] && echo "data_folder: \"$3\""
    cat <<YAML
snapshot_entries: ${SNAPSHOT_ENTRIES:-20000}
times: {heartbeat_ms: 80, election_min_ms: 450, election_max_ms: 850, fresh_ms: 1500}
fleet:
  $([ -n "${3:-}" ] && echo "control: \"$1:$((BASE_PORT + 1))\"" || echo "clients: \"$1:$((BASE_PORT + 2))\"")
  readiness: "$1:$((BASE_PORT + 3))"
  metrics: "$1:$((BASE_PORT + 4))"
  advice: "127.0.0.9:$((BASE_PORT + 5))"
  data_centre: "z1"
  first_start: $2
  bus_port: $((BASE_PORT + 6))
  lease_ms: 6000
  stop_ms: 900
  grace_s: 6
  keep_s: 120
  far_times: 1.5
  seeds: [$(echo "\"$SEEDS\"" | sed 's/,/", "/g')]
YAML
}

start_node() { # HOST FIRST_START [DATA_FOLDER]
    settings "$@" >"$WORK/$1.yaml"
    "$FP" node "$WORK/$1.yaml" >>"$WORK/$1.log" 2>>"$WORK/$1.err" &
    PID[$1]=$!
}

start_fleet() {
    for host in $CORES; do
        mkdir -p "$WORK/$host"
        start_node "$host" true "$WORK/$host"
    done
    start_node 127.0.0.5 false
}

targets() { # ARGUMENT...
    python3 $STANDIN targets --control "$SEEDS" --port $((BASE_PORT + 5)) "$@" \
        >"$WORK/targets" 2>"$WORK/targets.err" &
    PID[targets]=$!
}

configure() { python3 $STANDIN configure --control "$SEEDS" "$@"; }

jobs_in() { python3 $STANDIN jobs --front "$FRONT" "$@"; }

metric() { # HOST NAME
    curl -s -m 2 "http://$1:$((BASE_PORT + 4))/metrics" | sed -n "s/^filbertpath_$2 //p"
}

leader() {
    for host in $CORES; do
        [ "$(metric "$host" leads)" = 1 ] && echo "$host"
    done | head -n 1
}

until_true() { # SECONDS COMMAND...
    local end=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ $SECONDS -ge $end ] && return 1
        sleep 0.1
    done
}

must_reach() { # TEXT SECONDS COMMAND...
    local text=$1
    shift
    if until_true "$@"; then echo "$text"; else echo "NOT: $text"; fi
}

has_leader() { [ -n "$(leader)" ]; }
is_ready() { [ "$(metric "$1" ready)" = 1 ]; }

wait_for() { # NAME
    wait "${PID[$1]}"
    unset "PID[$1]"
}

stop_all() {
    for name in "${!PID[@]}"; do
        kill -CONT "${PID[$name]}" 2>/dev/null
        kill "${PID[$name]}" 2>/dev/null
    done
    for name in "${!PID[@]}"; do
        wait "${PID[$name]}" 2>/dev/null
    done
    cat "$WORK"/*.err 2>/dev/null | grep -E 'Sanitizer|runtime error|CRITICAL' | head -5
    rm -rf "$WORK"
}
trap stop_all EXIT
