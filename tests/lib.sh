# lib.sh -- functions shared by the demonstration, the benches and the golden
# sessions: a cell of hosts on loopback, each with its own settings file, and
# stand-in targets. Steps poll for a state with a timeout instead of sleeping
# for a fixed time. RAW=1 leaves the output unfiltered, KEEP_WORK=1 keeps the
# working folder.

set -u
export G_DEBUG=fatal-criticals # a failed GLib assertion aborts the process
FP=${FP:-build/filbertpath}
BASE_PORT=${BASE_PORT:-17100}
WORK=$(mktemp -d "${TMPDIR:-/tmp}/filbertpath.XXXXXX")
OPERATOR_KEY=demo-operator-secret
TARGET_KEY=demo-target-secret
declare -A PIDS
declare -A OLD_PIDS

secret_hash() { # SECRET: its BLAKE2b-256 hash, as in the settings
    printf '%s' "$1" | b2sum -l 256 | cut -d' ' -f1
}

http_address() { echo "127.0.0.1:$((BASE_PORT + $1))"; }
bus_address() { echo "127.0.0.1:$((BASE_PORT + 50 + $1))"; }

# generate_keys COUNT: a CURVE key pair for each host and one TLS certificate
# for all. Used if SECURE=1.
declare -a PUBLIC SECRET
generate_keys() {
    local i pair
    for ((i = 1; i <= $1; i++)); do
        pair=$("$FP" draw --json)
        PUBLIC[i]=$(sed -n 's/.*"curve_public_key": "\(.*\)",*$/\1/p' <<<"$pair")
        SECRET[i]=$(sed -n 's/.*"curve_secret_key": "\(.*\)",*$/\1/p' <<<"$pair")
    done
    openssl req -x509 -newkey rsa:2048 -nodes -days 2 -subj /CN=127.0.0.1 \
        -addext subjectAltName=IP:127.0.0.1 -keyout "$WORK/key.pem" -out "$WORK/cert.pem" 2>/dev/null
}

# write_settings COUNT DISKS [EXTRA]: writes the settings of hosts h1 to hCOUNT,
# spread over three data centres. The first DISKS hosts have a data folder.
# EXTRA lines are added to every file.
write_settings() {
    local count=$1 disks=$2 extra=${3:-} i j
    HOSTS=
    [ -n "${SECURE:-}" ] && generate_keys "$count"
    for ((i = 1; i <= count; i++)); do
        HOSTS=$HOSTS${HOSTS:+,}$(http_address "$i")
        {
            echo "host: h$i"
            [ "$i" -le "$disks" ] && echo "data_folder: $WORK/h$i"
            echo "operator_key_hash: $(secret_hash $OPERATOR_KEY)"
            echo "target_key_hash: $(secret_hash $TARGET_KEY)"
            [ -n "$extra" ] && printf '%b\n' "$extra"
            if [ -n "${SECURE:-}" ]; then
                printf 'curve:\n  public_key: "%s"\n  secret_key: "%s"\n' "${PUBLIC[$i]}" "${SECRET[$i]}"
                printf 'tls:\n  certificate: %s\n  private_key: %s\n' "$WORK/cert.pem" "$WORK/key.pem"
            fi
            echo "hosts:"
            for ((j = 1; j <= count; j++)); do
                echo "  - name: h$j"
                echo "    data_centre: dc$(((j - 1) % 3 + 1))"
                echo "    bus: $(bus_address "$j")"
                echo "    http: $(http_address "$j")"
                [ -n "${SECURE:-}" ] && echo "    public_key: \"${PUBLIC[$j]}\""
            done
        } >"$WORK/h$i.yaml"
    done
    export FILBERTPATH_HOSTS=$HOSTS FILBERTPATH_KEY=$OPERATOR_KEY
}

start_host() { # NUMBER
    "$FP" serve "$WORK/h$1.yaml" >>"$WORK/h$1.log" 2>&1 &
    PIDS[h$1]=$!
}

# start_target NAME PORT_OFFSET DATA_CENTRE [OPTION...]: with offset 0 the
# target has no address and takes no requests.
start_target() {
    local name=$1 offset=$2 dc=$3 address=()
    shift 3
    [ "$offset" != 0 ] && address=(--address "$(http_address "$offset")")
    FILBERTPATH_KEY=$TARGET_KEY "$FP" standin "$name" "${address[@]}" \
        --data-centre "$dc" --journal "$WORK/journal" "$@" \
        >>"$WORK/$name.log" 2>&1 &
    PIDS[$name]=$!
}

signal_process() { # NAME [SIGNAL]: sends SIGNAL; KILL, the default, also waits
    local pid=${PIDS[$1]}
    if [ "${2:-KILL}" != KILL ]; then
        kill "-$2" "$pid"
    else
        # Bash reports a killed child between two commands, before or after
        # the wait.
        {
            kill -KILL "$pid"
            wait "$pid"
            true
        } 2>/dev/null
        unset "PIDS[$1]"
    fi
}

# print_exit_code NAME: waits for the process to exit and prints its exit code.
print_exit_code() {
    wait "${PIDS[$1]}"
    echo "exit code: $?"
    unset "PIDS[$1]"
}

# wait_until SECONDS COMMAND...: repeats the command until it succeeds; fails
# after the timeout.
wait_until() {
    local tries=$(($1 * 20))
    shift
    while ! "$@" >/dev/null 2>&1; do
        tries=$((tries - 1))
        if [ "$tries" -le 0 ]; then
            echo "state not reached: $*" >&2
            return 1
        fi
        sleep 0.05
    done
}

on_host() { # HOST_NUMBER COMMAND...: runs a subcommand against one host
    local host=$1
    shift
    FILBERTPATH_HOSTS=$(http_address "$host") "$FP" "$@"
}
json_value() { # NAME <JSON: prints the first value of that name
    grep -o "\"$1\": *[^,}]*" | head -n 1 | sed 's/^[^:]*: *//; s/"//g'
}

leader() { # prints the number of the leading host
    "$FP" status --json --timeout-ms 500 2>/dev/null |
        awk -F'"' '/"host":/ {h = $4} /"is_leader": true/ {print substr(h, 2)}' |
        head -n 1
}
has_leader() { [ -n "$(leader)" ]; }
voter_count() { # HOST: prints the number of voters that the host knows
    on_host "$1" dump --json | grep -c '"role": "voter"'
}
voter_count_is() { [ "$(voter_count "$1" 2>/dev/null)" = "$2" ]; }
is_fresh() { on_host "$1" status --json | grep -q '"fresh": true'; }

# start_cell COUNT DISKS [EXTRA]: starts all hosts, initialises the cell on h1
# and adds the other hosts that have a disk as voters.
start_cell() {
    local i
    write_settings "$@"
    for ((i = 1; i <= $1; i++)); do start_host "$i"; done
    for ((i = 1; i <= $1; i++)); do
        wait_until 10 curl -skf "${SECURE:+https://}$(http_address "$i")/healthz" || return 1
    done
    on_host 1 init >/dev/null || return 1
    wait_until 10 has_leader || return 1
    for ((i = 2; i <= $2; i++)); do
        wait_until 10 "$FP" members add "h$i" || return 1
        wait_until 10 voter_count_is 1 "$i" || return 1
    done
    for ((i = 1; i <= $1; i++)); do wait_until 10 is_fresh "$i" || return 1; done
}

# Replaces values that differ from run to run: addresses, times, identifiers.
normalise() {
    sed -u -E \
        -e "s#127\.0\.0\.1:$((BASE_PORT / 100))([0-9]{2})#ADDRESS-\1#g" \
        -e "s#$WORK#WORK#g" \
        -e 's/\b1[0-9]{12}\b/TIME/g' \
        -e 's/\b[0-9a-f]{64}\b/SECRET/g' \
        -e 's/("?(run_id|owner_run|secret)"?[:=] ?)"?[0-9a-f]+"?/\1ID/g' \
        -e 's/("?version"?[:=] ?)[1-9][0-9]*/\1VERSION/g' \
        -e 's/(version is |version: |which is )[1-9][0-9]*/\1VERSION/g' \
        -e 's/("?id"?[:=] ?)[1-9][0-9]*/\1ID/g'
}

clean_up() {
    local name
    exec 2>/dev/null # hides the shell's message about each killed process
    for name in "${!PIDS[@]}"; do
        kill -CONT "${PIDS[$name]}" 2>/dev/null
        kill -KILL "${PIDS[$name]}" 2>/dev/null
    done
    [ -n "${KEEP_WORK:-}" ] || rm -rf "$WORK"
    if [ -n "${NORMALISE_PID:-}" ]; then
        exec >&-
        wait "$NORMALISE_PID"
    fi
}
trap clean_up EXIT
if [ -z "${RAW:-}" ]; then
    # All output goes through the filter; clean_up waits for the filter to exit.
    exec 3>&1 > >(normalise >&3)
    NORMALISE_PID=$!
fi

call() { # HOST KEY METHOD QUEUE/PATH [CURL_OPTION...]
    local host=$1 key=$2 method=$3 path=$4
    shift 4
    curl -s -X "$method" ${key:+-H "Authorization: Bearer $key"} "$@" \
        "$(http_address "$host")/call/$path"
}

job_task_count_is() { # JOB STATE COUNT: COUNT tasks are in that state
    [ "$("$FP" show "$1" --json | json_value "$2")" = "$3" ]
}
target_is_up() { "$FP" list targets | grep " name=$1 " | grep -q "state=up"; }
# queue_is_served HOST KEY QUEUE: the host answers a request to the queue.
queue_is_served() {
    [ "$(call "$1" "$2" POST "$3/echo" -d x -o /dev/null -w '%{http_code}')" = 200 ]
}

# ---- transcripts -----------------------------------------------------------

# run_and_print COMMAND...: prints the command, its output and, if it is not 0,
# its exit code.
run_and_print() {
    local code
    printf '$ %s\n' "${*/#$FP/filbertpath}"
    "$@" 2>&1
    code=$?
    [ "$code" = 0 ] || printf '(exit code %s)\n' "$code"
}
heading() { printf '\n# %s\n' "$*"; }

# expect_state TEXT SECONDS COMMAND...: like wait_until, and prints whether the
# state was reached.
expect_state() {
    local text=$1
    shift
    if wait_until "$@"; then echo "reached: $text"; else echo "NOT REACHED: $text"; fi
}

# Prints the number of duplicate starts: of a task that already ran, or of an
# attempt that was started before. Reads the journal of all targets, whose lines
# are "TIME EVENT TASK ATTEMPT TARGET".
duplicate_starts() {
    sort -n -s -k1,1 "$WORK/journal" | awk '
        $2 == "start" { if (running[$3]++) duplicates++; if (seen[$3 " " $4]++) duplicates++ }
        $2 != "start" { if (running[$3] > 0) running[$3]-- }
        END { print duplicates + 0 }'
}
completed_task_count() { awk '$2 == "done" {n[$3]++} END {print length(n)}' "$WORK/journal"; }

create_key() { "$FP" key add "$1" --team "$2" --json | json_value secret; }
submit_job() { # KEY QUEUE COUNT PAYLOAD [OPTION...]: prints the job's ID
    local key=$1 queue=$2 count=$3 payload=$4
    shift 4
    FILBERTPATH_KEY=$key "$FP" submit "$queue" "$payload" --count "$count" \
        --cpu-milli 1000 --memory-mb 64 --json "$@" | json_value id
}
call_status() { # same arguments as call: prints the HTTP status
    call "$@" -o /dev/null -w '%{http_code}'
}
