# Several faults at once: the leader and the host that passes on requests are
# killed before the responses; then the killed leader also loses its disk.
. tests/lib.sh
start_cell 5 3 'faults_allowed: true' || exit 1
for t in 1 2; do start_target rack$t 2$t dc$t --service storefront --cpu-milli 4000 --memory-mb 4000; done
for t in 1 2; do wait_until 10 target_is_up rack$t || exit 1; done
"$FP" team set rondas >/dev/null
"$FP" queue set checkins --kind service --service storefront --request-max-ms 4000 >/dev/null
KEY=$(create_key phones rondas)
for host in 1 2 3 4 5; do wait_until 15 queue_is_served $host "$KEY" checkins || exit 1; done
served_count() { for t in 21 22; do curl -s "$(http_address $t)/stats" | json_value served; done | awk "{ sum += \$1 } END { print sum }"; }

heading "check-ins through h4; h4 and the leader are killed before the responses"
SERVED_BEFORE=$(served_count)
for i in 1 2 3 4 5 6; do
    call 4 "$KEY" POST "checkins/echo?ms=1500" -d "marshal $i" -H "Idempotency-Key: shift-$i" --max-time 10 -o /dev/null &
    CALLERS="${CALLERS:-} $!"
done
all_arrived() { [ $(($(served_count) - SERVED_BEFORE)) -ge 6 ]; }
sleep 1
signal_process "h$(leader)"
signal_process h4
wait $CALLERS
expect_state "another host leads" 20 has_leader
expect_state "all six ran" 20 all_arrived

heading "the callers resend them through h5"
wait_until 20 queue_is_served 5 "$KEY" checkins
SERVED_BEFORE_RESEND=$(served_count)
for i in 1 2 3 4 5 6; do
    may_have_run() { [ "$(call 5 "$KEY" POST "checkins/echo?ms=1500" -d "marshal $i" -H "Idempotency-Key: shift-$i" | json_value work)" = "may have run" ]; }
    expect_state "check-in $i may have run" 20 may_have_run
done
echo "ran again: $(($(served_count) - SERVED_BEFORE_RESEND))"

heading "a key is withdrawn, and the killed leader loses its disk"
for host in 1 2 3; do [ "${PIDS[h$host]:-}" ] && LIVE="${LIVE:-} $host"; done
"$FP" key withdraw phones --timeout-ms 20000 >/dev/null && echo "withdrawn"
key_is_refused() { [ "$(call_status 5 "$KEY" POST checkins/echo -d x)" != 200 ]; }
expect_state "h5 refuses the key" 4 key_is_refused
for host in 1 2 3; do [ "${PIDS[h$host]:-}" ] || { rm -rf "$WORK/h$host"; start_host $host; LOST=$host; }; done
replaced() { "$FP" members add "h$LOST" && voter_count_is "${LIVE##* }" 3; }
expect_state "the lost host is replaced" 30 replaced
expect_state "it is up to date" 20 is_fresh "$LOST"
echo "status with the withdrawn key: $(call_status "$LOST" "$KEY" POST checkins/echo -d x)"
