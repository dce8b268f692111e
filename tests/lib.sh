# lib.sh -- what the demonstration and the golden sessions share: a cell of
# hosts on loopback, each from its own settings file, and stand-in targets.
# A step waits for a state with a bound, never for a time.

set -u
export G_DEBUG=fatal-criticals # a failed assertion of GLib ends the process
FP=${FP:-build/filbertpath}
BASE_PORT=${BASE_PORT:-17100}
WORK=$(mktemp -d "${TMPDIR:-/tmp}/filbertpath.XXXXXX")
OPERATOR_KEY=demo-operator-secret
TARGET_KEY=demo-target-secret
declare -A PIDS
declare -A OLD_PIDS

hash_of() { # BLAKE2b-256 of the secret, as in the settings
    printf '%s' "$1" | b2sum -l 256 | cut -d' ' -f1
}

http_of() { echo "127.0.0.1:$((BASE_PORT + $1))"; }
bus_of() { echo "127.0.0.1:$((BASE_PORT + 50 + $1))"; }

# With SECURE=1: a CURVE key pair for each host, and one certificate.
declare -a PUBLIC SECRET
draw_keys() {
    local i pair
    for ((i = 1; i <= $1; i++)); do
        pair=$("$FP" draw --json)
        PUBLIC[i]=$(sed -n 's/.*"curve_public_key": "\(.*\)",*$/\1/p' <<<"$pair")
        SECRET[i]=$(sed -n 's/.*"curve_secret_key": "\(.*\)",*$/\1/p' <<<"$pair")
    done
    openssl req -x509 -newkey rsa:2048 -nodes -days 2 -subj /CN=127.0.0.1 \
        -addext subjectAltName=IP:127.0.0.1 -keyout "$WORK/key.pem" -out "$WORK/cert.pem" 2>/dev/null
}

# write_settings COUNT DISKS [EXTRA]: hosts h1.. over three data centres, the
# first DISKS of them with a data folder; EXTRA lines go into every file.
write_settings() {
    local count=$1 disks=$2 extra=${3:-} i j
    HOSTS=
    [ -n "${SECURE:-}" ] && draw_keys "$count"
    for ((i = 1; i <= count; i++)); do
        HOSTS=$HOSTS${HOSTS:+,}$(http_of "$i")
        {
            echo "host: h$i"
            [ "$i" -le "$disks" ] && echo "data_folder: $WORK/h$i"
            echo "operator_key_hash: $(hash_of $OPERATOR_KEY)"
            echo "target_key_hash: $(hash_of $TARGET_KEY)"
            [ -n "$extra" ] && printf '%b\n' "$extra"
            if [ -n "${SECURE:-}" ]; then
                printf 'curve:\n  public_key: "%s"\n  secret_key: "%s"\n' "${PUBLIC[$i]}" "${SECRET[$i]}"
                printf 'tls:\n  certificate: %s\n  private_key: %s\n' "$WORK/cert.pem" "$WORK/key.pem"
            fi
            echo "hosts:"
            for ((j = 1; j <= count; j++)); do
                echo "  - name: h$j"
                echo "    data_centre: dc$(((j - 1) % 3 + 1))"
                echo "    bus: $(bus_of "$j")"
                echo "    http: $(http_of "$j")"
                [ -n "${SECURE:-}" ] && echo "    public_key: \"${PUBLIC[$j]}\""
            done
        } >"$WORK/h$i.yaml"
    done
    export FILBERTPATH_HOSTS=$HOSTS FILBERTPATH_KEY=$OPERATOR_KEY
}

start_host() {
    "$FP" serve "$WORK/h$1.yaml" >>"$WORK/h$1.log" 2>&1 &
    PIDS[h$1]=$!
}

# start_target NAME PORT_OFFSET DATA_CENTRE [OPTION...]; offset 0: no requests.
start_target() {
    local name=$1 offset=$2 dc=$3 address=()
    shift 3
    [ "$offset" != 0 ] && address=(--address "$(http_of "$offset")")
    FILBERTPATH_KEY=$TARGET_KEY "$FP" standin "$name" "${address[@]}" \
        --data-centre "$dc" --journal "$WORK/journal" "$@" \
        >>"$WORK/$name.log" 2>&1 &
    PIDS[$name]=$!
}

kill_it() { # NAME [SIGNAL]
    local pid=${PIDS[$1]}
    kill "-${2:-KILL}" "$pid"
    if [ "${2:-KILL}" = KILL ]; then
        wait "$pid" 2>/dev/null
        unset "PIDS[$1]"
    fi
}

# ends_with NAME: waits for the process and prints its exit code.
ends_with() {
    wait "${PIDS[$1]}"
    echo "exit code: $?"
    unset "PIDS[$1]"
}

# until_true SECONDS COMMAND...: the state must come within the bound.
until_true() {
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

# field HOSTS PATH_EXPRESSION COMMAND...: one field of a command's JSON.
on() { # on HOST_NUMBER COMMAND...: runs a subcommand against one host
    local host=$1
    shift
    FILBERTPATH_HOSTS=$(http_of "$host") "$FP" "$@"
}
value() { # value NAME <JSON: the first value of that name
    grep -o "\"$1\": *[^,}]*" | head -n 1 | sed 's/^[^:]*: *//; s/"//g'
}

leader() { # number of the host that leads
    "$FP" status --json --timeout-ms 500 2>/dev/null |
        awk -F'"' '/"host":/ {h = $4} /"is_leader": true/ {print substr(h, 2)}' |
        head -n 1
}
has_leader() { [ -n "$(leader)" ]; }
voters() { # voters HOST: how many voters the host knows
    on "$1" dump --json | grep -c '"role": "voter"'
}
voters_are() { [ "$(voters "$1" 2>/dev/null)" = "$2" ]; }
is_fresh() { on "$1" status --json | grep -q '"fresh": true'; }

# begin_cell COUNT DISKS [EXTRA]: starts all hosts and makes the replicas vote.
begin_cell() {
    local i
    write_settings "$@"
    for ((i = 1; i <= $1; i++)); do start_host "$i"; done
    for ((i = 1; i <= $1; i++)); do
        until_true 10 curl -skf "${SECURE:+https://}$(http_of "$i")/healthz" || return 1
    done
    on 1 init >/dev/null || return 1
    until_true 10 has_leader || return 1
    for ((i = 2; i <= $2; i++)); do
        until_true 10 "$FP" members add "h$i" || return 1
        until_true 10 voters_are 1 "$i" || return 1
    done
    for ((i = 1; i <= $1; i++)); do until_true 10 is_fresh "$i" || return 1; done
}

# Replaces what differs from run to run: addresses, times, identifiers.
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

end_all() {
    local name
    exec 2>/dev/null # the shell would tell of each process that it ended
    for name in "${!PIDS[@]}"; do
        kill -CONT "${PIDS[$name]}" 2>/dev/null
        kill -KILL "${PIDS[$name]}" 2>/dev/null
    done
    [ -n "${KEEP_WORK:-}" ] || rm -rf "$WORK"
    if [ -n "${NORMALISE:-}" ]; then
        exec >&-
        wait "$NORMALISE"
    fi
}
trap end_all EXIT
if [ -z "${RAW:-}" ]; then
    # The transcript goes through the filter; the filter ends before we do.
    exec 3>&1 > >(normalise >&3)
    NORMALISE=$!
fi

call() { # call HOST KEY METHOD QUEUE/PATH [CURL OPTION...]
    local host=$1 key=$2 method=$3 path=$4
    shift 4
    curl -s -X "$method" ${key:+-H "Authorization: Bearer $key"} "$@" \
        "$(http_of "$host")/call/$path"
}

job_state_is() { # job_state_is JOB STATE COUNT
    [ "$("$FP" show "$1" --json | value "$2")" = "$3" ]
}
target_up() { "$FP" list targets | grep " name=$1 " | grep -q "state=up"; }
# can_call QUEUE KEY: a request to the queue is answered on every host.
served_on() {
    [ "$(call "$1" "$2" POST "$3/echo" -d x -o /dev/null -w '%{http_code}')" = 200 ]
}

# ---- transcripts -----------------------------------------------------------

# show COMMAND...: the command, its whole output and its exit code.
show() {
    local code
    printf '$ %s\n' "${*/#$FP/filbertpath}"
    "$@" 2>&1
    code=$?
    [ "$code" = 0 ] || printf '(exit code %s)\n' "$code"
}
say() { printf '\n# %s\n' "$*"; }

# must_reach WHAT SECONDS COMMAND...: notes in the transcript that a state came.
must_reach() {
    local what=$1
    shift
    if until_true "$@"; then echo "reached: $what"; else echo "NOT REACHED: $what"; fi
}

# Starts of one task in two places at once, or of one attempt twice, from the
# journal of all targets: "TIME EVENT TASK ATTEMPT TARGET".
doubled_tasks() {
    sort -n -s -k1,1 "$WORK/journal" | awk '
        $2 == "start" { if (open[$3]++) bad++; if (seen[$3 " " $4]++) bad++ }
        $2 != "start" { if (open[$3] > 0) open[$3]-- }
        END { print bad + 0 }'
}
ended_tasks() { awk '$2 == "done" {n[$3]++} END {print length(n)}' "$WORK/journal"; }

new_key() { "$FP" key add "$1" --team "$2" --json | value secret; }
submit_job() { # submit_job KEY QUEUE COUNT PAYLOAD [OPTION...]: prints the ID
    local key=$1 queue=$2 count=$3 payload=$4
    shift 4
    FILBERTPATH_KEY=$key "$FP" submit "$queue" "$payload" --count "$count" \
        --cpu-milli 1000 --memory-mb 64 --json "$@" | value id
}
answer_code() { call "$@" -o /dev/null -w '%{http_code}'; }
