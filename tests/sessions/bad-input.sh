# Malformed, oversized, abandoned and unauthorised input at every interface
# gets a clear error or a closed connection, and the host keeps serving.
. tests/lib.sh
start_cell 3 3 || exit 1
start_target rack1 21 dc1 --service storefront --cpu-milli 4000 --memory-mb 4000
wait_until 10 target_is_up rack1 || exit 1
"$FP" team set kapnos >/dev/null
"$FP" queue set orders --kind service --service storefront >/dev/null
KEY=$(create_key counter kapnos)
wait_until 15 queue_is_served 1 "$KEY" orders || exit 1
url_status() { curl -s -o /dev/null -w '%{http_code}\n' "$@"; }
URL=$(http_address 1)
OPERATOR_HEADER="Authorization: Bearer $OPERATOR_KEY"
TARGET_HEADER="Authorization: Bearer $TARGET_KEY"

heading "without the required key"
for route in POST/v1/init POST/v1/members POST/v1/fault POST/v1/config/team POST/v1/config/key GET/v1/dump GET/v1/config/key GET/v1/targets GET/v1/jobs POST/v1/targets/announce POST/v1/targets/heartbeat; do
    echo "${route%%/*} /${route#*/}: $(url_status -X "${route%%/*}" -H "Authorization: Bearer $KEY" "$URL/${route#*/}" -d '{}')"
done

heading "malformed bodies"
for route in config/team config/queue config/hours config/labels config/target-state config/key members targets/announce targets/heartbeat jobs cancel; do
    case $route in targets/*) HEADER=$TARGET_HEADER ;; jobs) HEADER="Authorization: Bearer $KEY" ;; *) HEADER=$OPERATOR_HEADER ;; esac
    for body in '' '{' '[]' '{"no_such_field":1}' '{"name":7}' '{"name":"a","name":"b"}' "$(printf '{"name":"%0200d"}' 0)"; do
        url_status -H "$HEADER" "$URL/v1/$route" -d "$body"
    done | sort | uniq -c | sed "s#^ *#$route: #"
done

heading "broken HTTP"
send_raw() { # TEXT: sends it and prints the first line of the response
    exec 5<>"/dev/tcp/127.0.0.1/${URL#*:}"
    printf "$1" >&5
    timeout 5 head -n 1 <&5 | tr -d '\r'
    exec 5>&- 5<&-
}
echo "not HTTP: $(send_raw 'nonsense\r\n\r\n')"
echo "unknown method: $(send_raw 'BREW /call/orders/x HTTP/1.1\r\nHost: a\r\n\r\n')"
echo "invalid Content-Length: $(send_raw 'POST /call/orders/x HTTP/1.1\r\nHost: a\r\nContent-Length: many\r\n\r\n')"
echo "body over the limit: $(send_raw 'POST /call/orders/x HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n')"
LONG_TEXT=$(head -c 3000 /dev/zero | tr '\0' x)
echo "long path: $(url_status "$URL/call/orders/$LONG_TEXT" -H "Authorization: Bearer $KEY")"
echo "long key: $(url_status "$URL/call/orders/x" -H "Authorization: Bearer $LONG_TEXT")"
echo "invalid percent encoding: $(url_status "$URL/v1/jobs/%zz" -H "$OPERATOR_HEADER")"
echo "number over 64 bits: $(url_status "$URL/v1/jobs/99999999999999999999999" -H "$OPERATOR_HEADER")"
# Connections that are closed in the middle of a request.
for i in $(seq 1 100); do
    exec 6<>"/dev/tcp/127.0.0.1/${URL#*:}"
    printf 'POST /call/orders/echo HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nhalf' >&6
    exec 6>&- 6<&-
done
# Callers that disconnect before the response.
for i in $(seq 1 20); do call 1 "$KEY" POST 'orders/echo?ms=300' -d x --max-time 0.05; done
echo "still served: $(call_status 1 "$KEY" POST orders/echo -d x)"

heading "random bytes on the bus port"
for i in $(seq 1 20); do
    exec 7<>"/dev/tcp/127.0.0.1/$((BASE_PORT + 51))" && head -c 2000 /dev/urandom >&7 2>/dev/null
    exec 7>&- 7<&-
done 2>/dev/null
echo "still served: $(call_status 1 "$KEY" POST orders/echo -d x)"
nothing_in_flight() { [ "$(on_host 1 dump --json | json_value in_flight)" = 0 ]; }
expect_state "no request is in flight" 15 nothing_in_flight
on_host 1 dump --json | grep -E '"invariants_hold"'
memory_is_bounded() { [ "$(on_host 1 dump --json | json_value peak_memory_kb)" -lt 500000 ]; }
memory_is_bounded && echo "peak memory is below 500 MB"
