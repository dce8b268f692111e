# crowd.sh -- a fleet of four hosts with small limits, for a crowd of clients that don't
# behave. The limits of memory and descriptors are not enforced on this machine: the
# crowd measures them. A build with sanitizers takes memory of its own, which is not
# compared with the bound.
MEMORY_MB=${MEMORY_MB:-64}
MAX_FDS=${MAX_FDS:-400}
. tests/platform/lib.sh

start_small_fleet() {
    start_fleet
    configure --version 1
    expect_state "the front end is ready" 10 is_ready 127.0.0.5
}

watched() { # prints the hosts and their processes
    local host
    for host in $CORES 127.0.0.5; do
        printf '%s%s=%s' "${list:+,}" "$host" "${PIDS[$host]}"
        local list=1
    done
}

listener_address() { # HOST LISTENER
    local offset
    case $2 in
    control) offset=1 ;;
    clients) offset=2 ;;
    readiness) offset=3 ;;
    metrics) offset=4 ;;
    bus) offset=6 ;;
    esac
    echo "$1:$((BASE_PORT + offset))"
}

meet_crowd() { # KIND HOST LISTENER [OPTION...]
    local kind=$1 host=$2 listener=$3
    shift 3
    python3 tests/platform/crowd.py "$kind" --listener "$listener" \
        --address "$(listener_address "$host" "$listener")" \
        --front "$(listener_address 127.0.0.5 clients)" \
        --control "$(listener_address 127.0.0.1 control)" \
        --watch "$(watched)" --memory-mb $MEMORY_MB --max-fds $MAX_FDS \
        $([[ $FP == *-san/* ]] && echo --ignore-memory) ${FIGURES:+--figures} "$@"
}

# Kills all core hosts at once and starts them again.
restart_cores() {
    local host
    for host in $CORES; do kill_node "$host"; done
    for host in $CORES; do start_node "$host" false "$WORK/$host"; done
    expect_state "a leader is found" 20 has_leader
    expect_state "the front end is ready" 20 is_ready 127.0.0.5
}
