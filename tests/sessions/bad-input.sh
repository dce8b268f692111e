# Malformed, oversized, slow, half-closed and unauthorised input at every
# door: a clear error or a closed connection, and the host goes on.
. tests/lib.sh
begin_cell 3 3 || exit 1
start_target rack1 21 dc1 --service storefront --cpu-milli 4000 --memory-mb 4000
until_true 10 target_up rack1 || exit 1
"$FP" team set kapnos >/dev/null
"$FP" queue set orders --kind service --service storefront >/dev/null
KEY=$(new_key counter kapnos)
until_true 15 served_on 1 "$KEY" orders || exit 1
code() { curl -s -o /dev/null -w '%{http_code}\n' "$@"; }
URL=$(http_of 1)
OP="Authorization: Bearer $OPERATOR_KEY"
TG="Authorization: Bearer $TARGET_KEY"

say "without the right key"
for route in POST/v1/init POST/v1/members POST/v1/fault POST/v1/config/team POST/v1/config/key GET/v1/dump GET/v1/config/key GET/v1/targets GET/v1/jobs POST/v1/targets/announce POST/v1/targets/heartbeat; do
    echo "${route%%/*} /${route#*/}: $(code -X "${route%%/*}" -H "Authorization: Bearer $KEY" "$URL/${route#*/}" -d '{}')"
done

say "malformed bodies"
for route in config/team config/queue config/hours config/labels config/target-state config/key members targets/announce targets/heartbeat jobs cancel; do
    case $route in targets/*) H=$TG ;; jobs) H="Authorization: Bearer $KEY" ;; *) H=$OP ;; esac
    for body in '' '{' '[]' '{"no_such_field":1}' '{"name":7}' '{"name":"a","name":"b"}' "$(printf '{"name":"%0200d"}' 0)"; do
        code -H "$H" "$URL/v1/$route" -d "$body"
    done | sort | uniq -c | sed "s#^ *#$route: #"
done

say "broken HTTP"
raw() { # sends text, prints the first line of the answer
    exec 5<>"/dev/tcp/127.0.0.1/${URL#*:}"
    printf "$1" >&5
    timeout 5 head -n 1 <&5 | tr -d '\r'
    exec 5>&- 5<&-
}
echo "nonsense: $(raw 'nonsense\r\n\r\n')"
echo "no such method: $(raw 'BREW /call/orders/x HTTP/1.1\r\nHost: a\r\n\r\n')"
echo "bad length: $(raw 'POST /call/orders/x HTTP/1.1\r\nHost: a\r\nContent-Length: many\r\n\r\n')"
echo "too long: $(raw 'POST /call/orders/x HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n')"
LONG=$(head -c 3000 /dev/zero | tr '\0' x)
echo "long path: $(code "$URL/call/orders/$LONG" -H "Authorization: Bearer $KEY")"
echo "long key: $(code "$URL/call/orders/x" -H "Authorization: Bearer $LONG")"
echo "bad percent: $(code "$URL/v1/jobs/%zz" -H "$OP")"
echo "huge number: $(code "$URL/v1/jobs/99999999999999999999999" -H "$OP")"
# Half-closed and abandoned connections, a hundred of each.
for i in $(seq 1 100); do
    exec 6<>"/dev/tcp/127.0.0.1/${URL#*:}"
    printf 'POST /call/orders/echo HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nhalf' >&6
    exec 6>&- 6<&-
done
# Callers that go away before their answer.
for i in $(seq 1 20); do call 1 "$KEY" POST 'orders/echo?ms=300' -d x --max-time 0.05; done
echo "still served: $(answer_code 1 "$KEY" POST orders/echo -d x)"

say "strangers on the bus"
for i in $(seq 1 20); do
    exec 7<>"/dev/tcp/127.0.0.1/$((BASE_PORT + 51))" && head -c 2000 /dev/urandom >&7 2>/dev/null
    exec 7>&- 7<&-
done 2>/dev/null
echo "still served: $(answer_code 1 "$KEY" POST orders/echo -d x)"
idle() { [ "$(on 1 dump --json | value in_flight)" = 0 ]; }
must_reach "nothing is left in flight" 15 idle
on 1 dump --json | grep -E '"invariants_hold"'
small() { [ "$(on 1 dump --json | value peak_memory_kb)" -lt 500000 ]; }
small && echo "memory stayed bounded"
