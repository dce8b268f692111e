# A target answers late, truncated, for another request, twice or not at all, or
# closes a keep-alive connection. No caller may get part of a response or the
# response to another request, and a request that is not repeatable must reach
# the target only once.
. tests/lib.sh
start_cell 3 3 || exit 1
"$(dirname "$FP")/badtarget" $((BASE_PORT + 30)) >"$WORK/requests" &
PIDS[bad]=$!
# badtarget only answers requests: this script announces it and sends its
# heartbeats.
announce_target() {
    curl -sf -H "Authorization: Bearer $TARGET_KEY" "$(http_address 1)/v1/targets/announce" -d '{"name":"bad","run_id":7,"service":"wild","data_centre":"dc1","address":"'"$(http_address 30)"'","cpu_milli":1000,"memory_mb":1000}'
}
wait_until 10 announce_target || exit 1
(while sleep 0.5; do curl -s --max-time 3 -H "Authorization: Bearer $TARGET_KEY" "$(http_address 2)/v1/targets/heartbeat" -d '{"name":"bad","run_id":7,"number":1,"tasks":[]}'; done >/dev/null) &
PIDS[heartbeats]=$!
"$FP" team set kapnos >/dev/null
"$FP" queue set wild --kind service --service wild >/dev/null
KEY=$(create_key counter kapnos)
for host in 1 2 3; do wait_until 15 queue_is_served $host "$KEY" wild || exit 1; done
request_count() { grep -c "^$1\$" "$WORK/requests"; }
# Three failures in a row take the instance out of use until a request succeeds.
wait_until_usable() { wait_until 10 queue_is_served 1 "$KEY" wild; }

heading "requests that are not repeatable: each fails and was sent once"
for kind in truncated unmarked crossed silent; do
    wait_until_usable
    echo "$kind: $(call 2 "$KEY" POST "wild/$kind" -d x)"
    echo "reached the target: $(request_count "/$kind")"
done
wait_until_usable
echo "late: $(call 2 "$KEY" POST wild/late -d x -H 'X-Deadline-Ms: 300')"
echo "reached the target: $(request_count /late)"

heading "the target closes a keep-alive connection on a request: it is not sent again"
wait_until_usable
for i in 1 2 3; do call 1 "$KEY" POST wild/dies -d x; echo; done
echo "reached the target: $(request_count /dies)"

heading "two responses to one request: the second is discarded"
wait_until_usable
for i in 1 2 3 4; do call 1 "$KEY" POST wild/twice -d x; echo; call 3 "$KEY" POST wild/ok -d x; echo; done | sort | uniq -c | sed 's/^ *//'

heading "with an idempotency key, a repeated request gets the stored unknown outcome"
wait_until_usable
call 1 "$KEY" POST wild/silent -d x -H 'Idempotency-Key: s1'; echo
call 2 "$KEY" POST wild/silent -d x -H 'Idempotency-Key: s1'; echo
call 3 "$KEY" POST wild/silent -d x -H 'Idempotency-Key: s1'; echo
echo "reached the target: $(request_count /silent) in total"

heading "a refusal by the host says that nothing ran and does not use up the key"
signal_process bad
wait_until 10 sh -c "! curl -s $(http_address 30) -o /dev/null"
for i in 1 2; do call $i "$KEY" POST wild/echo -d x -H 'Idempotency-Key: n1' | sed -E 's/"(error|detail|retry_after_ms|tries)":("[^"]*"|[0-9]*),?//g'; echo; done
