# lib.sh -- functions for sessions and benches with a fleet of real processes on
# loopback: three core hosts, one front end and the stand-ins of standin.py.
# Every process that is started is ended by its ID. Steps poll for a state with a
# timeout instead of sleeping for a fixed time.
set -u
export G_DEBUG=fatal-criticals
FP=${FP:-build/filbertpath}
BASE_PORT=${BASE_PORT:-17100}
STANDIN=tests/platform/standin.py
WORK=$(mktemp -d "${TMPDIR:-/tmp}/filbertpath.XXXXXX")
CORES="127.0.0.1 127.0.0.2 127.0.0.3"
SEEDS=
for host in $CORES; do SEEDS=$SEEDS${SEEDS:+,}$host:$((BASE_PORT + 1)); done
FRONT_END=127.0.0.5:$((BASE_PORT + 2))
declare -A PIDS

print_settings() { # HOST FIRST_START [DATA_FOLDER]
    echo "host: \"$1\""
    [ -n "${3:-}" ] && echo "data_folder: \"$3\""
    cat <<YAML
snapshot_entries: ${SNAPSHOT_ENTRIES:-20000}
limits: {disk_mb: ${DISK_MB:-0}, memory_mb: ${MEMORY_MB:-0}, max_fds: ${MAX_FDS:-0}}
times: {heartbeat_ms: 50, election_min_ms: 200, election_max_ms: 320, fresh_ms: 1500}
fleet:
  $([ -n "${3:-}" ] && echo "control: \"$1:$((BASE_PORT + 1))\"" || echo "clients: \"$1:$((BASE_PORT + 2))\"")
  readiness: "$1:$((BASE_PORT + 3))"
  metrics: "$1:$((BASE_PORT + 4))"
  advice: "127.0.${YARD:+9.${1##*.}}$([ -n "${YARD:-}" ] || echo 0.9):$((BASE_PORT + $([[ " ${NO_POLICY:-} " == *" $1 "* ]] && echo 9 || echo 5)))"
  data_centre: "z1"
  first_start: $2
  bus_port: $((BASE_PORT + 6))
  lease_ms: ${LEASE_MS:-6000}
  stop_ms: 900
  grace_s: 6
  keep_s: 120
  far_times: 1.5
  seeds: [$(echo "\"$SEEDS\"" | sed 's/,/", "/g')]
YAML
}

start_node() { # HOST FIRST_START [DATA_FOLDER]
    print_settings "$@" >"$WORK/$1.yaml"
    env ${FAULTY_DISKS:+$(faulty_disk "$1")} "$FP" node "$WORK/$1.yaml" \
        >>"$WORK/$1.log" 2>>"$WORK/$1.err" &
    PIDS[$1]=$!
}

# With FAULTY_DISKS=1, set_disk HOST MODE makes the disk of a host fail; the modes are
# those of tests/faultdisk.c, "" for a sound disk.
FAULTDISK=${FAULTDISK:-$(dirname "$FP")/faultdisk.so}
faulty_disk() { # HOST: prints the environment of its process
    echo "LD_PRELOAD=$PWD/$FAULTDISK FAULTDISK_FOLDER=$WORK/$1/ FAULTDISK_MODE=$WORK/$1.mode"
    echo "ASAN_OPTIONS=verify_asan_link_order=0"
}
set_disk() { # HOST MODE
    echo "$2" >"$WORK/$1.mode.new"
    mv "$WORK/$1.mode.new" "$WORK/$1.mode"
}

start_fleet() {
    for host in $CORES; do
        mkdir -p "$WORK/$host"
        start_node "$host" true "$WORK/$host"
    done
    start_node 127.0.0.5 false
}

start_targets() { # OPTION...: stand-in targets and the placement policy
    python3 $STANDIN targets --control "$SEEDS" --port $((BASE_PORT + 5)) "$@" \
        >"$WORK/targets" 2>"$WORK/targets.err" &
    PIDS[targets]=$!
}

# With YARD=1, a site whose targets all need tickets of a policy that is a process of
# its own (policy.py); each host calls it at an address of its own.
start_policy() { # OPTION...
    python3 tests/platform/policy.py --port $((BASE_PORT + 5)) "$@" \
        >"$WORK/policy" 2>"$WORK/policy.err" &
    PIDS[policy]=$!
}

start_yard() { # OPTION...: the policy and 9 hosts; options are those of the policy
    start_policy "$@"
    start_fleet
    for host in 127.0.0.6 127.0.0.7 127.0.0.8 127.0.0.11 127.0.0.12; do
        start_node "$host" false
        FRONT_END=$FRONT_END,$host:$((BASE_PORT + 2))
    done
    configure --site yard --version 1
    expect_state "the front end is ready" 10 is_ready 127.0.0.5
}

start_yard_targets() { start_targets --site yard --count 48 --zones 3 --seconds 60 --seed 1; }

end_yard() { # prints the violations
    kill "${PIDS[policy]}"
    wait_for_exit policy
    kill -USR2 "${PIDS[targets]}"
    wait_for_exit targets
    cat "$WORK/targets"
    [ -z "${KEEP:-}" ] || cp "$WORK"/*.log "$WORK"/*.err "$WORK/policy" "$KEEP"
}

configure() { python3 $STANDIN configure --control "$SEEDS" "$@"; }

submit_jobs() { python3 $STANDIN jobs --front "$FRONT_END" "$@"; }

metric() { # HOST NAME
    curl -s -m 2 "http://$1:$((BASE_PORT + 4))/metrics" | sed -n "s/^filbertpath_$2 //p"
}

disk_has_failed() { [ "$(metric "$1" disk_failed_ms)" -gt 0 ]; }
disk_is_sound() { [ "$(metric "$1" disk_failed_ms)" = 0 ]; }

leader() { # prints the address of the leading host
    for host in $CORES; do
        [ "$(metric "$host" leads)" = 1 ] && echo "$host"
    done | head -n 1
}

wait_until() { # SECONDS COMMAND...: repeats the command until it succeeds
    local deadline=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ $SECONDS -ge $deadline ] && return 1
        sleep 0.1
    done
}

expect_state() { # TEXT SECONDS COMMAND...: prints whether the state was reached
    local text=$1
    shift
    if wait_until "$@"; then echo "$text"; else echo "NOT REACHED: $text"; fi
}

has_leader() { [ -n "$(leader)" ]; }
is_ready() { [ "$(metric "$1" ready)" = 1 ]; }

wait_for_exit() { # NAME: waits for the process to exit
    wait "${PIDS[$1]}"
    unset "PIDS[$1]"
}

# Bash reports a killed child on its own standard error between two commands, before
# or after the wait.
kill_node() { # HOST
    {
        kill -9 "${PIDS[$1]}"
        wait "${PIDS[$1]}"
        true
    } 2>/dev/null
}

clean_up() {
    for name in "${!PIDS[@]}"; do
        kill -CONT "${PIDS[$name]}" 2>/dev/null
        kill "${PIDS[$name]}" 2>/dev/null
    done
    for name in "${!PIDS[@]}"; do
        wait "${PIDS[$name]}" 2>/dev/null
    done
    cat "$WORK"/*.err 2>/dev/null | grep -E 'Sanitizer|runtime error|CRITICAL' | head -5
    rm -rf "$WORK"
}
trap clean_up EXIT
