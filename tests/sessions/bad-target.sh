# A target answers late, truncated, crossed, twice or not at all, and dies on a
# kept connection: nobody gets a part of an answer or another's, and an
# unrepeatable request reaches it once.
. tests/lib.sh
begin_cell 3 3 || exit 1
"$(dirname "$FP")/badtarget" $((BASE_PORT + 30)) >"$WORK/seen" &
PIDS[bad]=$!
# The stand-in announces and sends heartbeats for the address of the bad one.
announce() {
    curl -sf -H "Authorization: Bearer $TARGET_KEY" "$(http_of 1)/v1/targets/announce" -d '{"name":"bad","run_id":7,"service":"wild","data_centre":"dc1","address":"'"$(http_of 30)"'","cpu_milli":1000,"memory_mb":1000}'
}
until_true 10 announce || exit 1
(while sleep 0.5; do curl -s --max-time 3 -H "Authorization: Bearer $TARGET_KEY" "$(http_of 2)/v1/targets/heartbeat" -d '{"name":"bad","run_id":7,"number":1,"tasks":[]}'; done >/dev/null) &
PIDS[beats]=$!
"$FP" team set kapnos >/dev/null
"$FP" queue set wild --kind service --service wild >/dev/null
KEY=$(new_key counter kapnos)
for host in 1 2 3; do until_true 15 served_on $host "$KEY" wild || exit 1; done
count() { grep -c "^$1\$" "$WORK/seen"; }
# Three failures in a row put the instance out of use; a good one brings it back.
good() { until_true 10 served_on 1 "$KEY" wild; }

say "unrepeatable requests: one error each, and each was sent once"
for kind in truncated unmarked crossed silent; do
    good
    echo "$kind: $(call 2 "$KEY" POST "wild/$kind" -d x)"
    echo "reached the target: $(count "/$kind")"
done
good
echo "late: $(call 2 "$KEY" POST wild/late -d x -H 'X-Deadline-Ms: 300')"
echo "reached the target: $(count /late)"

say "a kept connection dies on its next request: not sent again"
good
for i in 1 2 3; do call 1 "$KEY" POST wild/dies -d x; echo; done
echo "reached the target: $(count /dies)"

say "two answers to one request: the second is nobody's"
good
for i in 1 2 3 4; do call 1 "$KEY" POST wild/twice -d x; echo; call 3 "$KEY" POST wild/ok -d x; echo; done | sort | uniq -c | sed 's/^ *//'

say "with a key for idempotency the unknown outcome is told again"
good
call 1 "$KEY" POST wild/silent -d x -H 'Idempotency-Key: s1'; echo
call 2 "$KEY" POST wild/silent -d x -H 'Idempotency-Key: s1'; echo
call 3 "$KEY" POST wild/silent -d x -H 'Idempotency-Key: s1'; echo
echo "reached the target: $(count /silent) in all"

say "a host's own refusal is told as not run, and leaves the key unused"
kill_it bad
until_true 10 sh -c "! curl -s $(http_of 30) -o /dev/null"
for i in 1 2; do call $i "$KEY" POST wild/echo -d x -H 'Idempotency-Key: n1' | sed -E 's/"(error|detail|retry_after_ms|tries)":("[^"]*"|[0-9]*),?//g'; echo; done
