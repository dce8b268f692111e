# Faults that come together: the leader is killed while a host is cut off and
# a request's answer is lost; then the disk of a third host goes.
. tests/lib.sh
begin_cell 5 3 'faults_allowed: true' || exit 1
for t in 1 2; do start_target rack$t 2$t dc$t --service storefront --cpu-milli 4000 --memory-mb 4000; done
for t in 1 2; do until_true 10 target_up rack$t || exit 1; done
"$FP" team set rondas >/dev/null
"$FP" queue set checkins --kind service --service storefront --request-max-ms 4000 >/dev/null
KEY=$(new_key phones rondas)
for host in 1 2 3 4 5; do until_true 15 served_on $host "$KEY" checkins || exit 1; done
served() { for t in 21 22; do curl -s "$(http_of $t)/stats" | value served; done | awk "{ sum += \$1 } END { print sum }"; }

say "check-ins through h4; it and the leader go before their answers"
BEFORE=$(served)
for i in 1 2 3 4 5 6; do
    call 4 "$KEY" POST "checkins/echo?ms=1500" -d "marshal $i" -H "Idempotency-Key: shift-$i" --max-time 10 -o /dev/null &
    P="${P:-} $!"
done
arrived() { [ $(($(served) - BEFORE)) -ge 6 ]; }
sleep 1
kill_it "h$(leader)"
kill_it h4
wait $P
must_reach "another host leads" 20 has_leader
must_reach "all six ran" 20 arrived

say "the phones send them again, through h5"
until_true 20 served_on 5 "$KEY" checkins
BASE=$(served)
for i in 1 2 3 4 5 6; do
    again() { [ "$(call 5 "$KEY" POST "checkins/echo?ms=1500" -d "marshal $i" -H "Idempotency-Key: shift-$i" | value work)" = "may have run" ]; }
    must_reach "check-in $i may have run" 20 again
done
echo "ran again: $(($(served) - BASE))"

say "meanwhile a host is cut off, and a disk goes"
for host in 1 2 3; do [ "${PIDS[h$host]:-}" ] && LIVE="${LIVE:-} $host"; done
"$FP" key withdraw phones --timeout-ms 20000 >/dev/null && echo "withdrawn"
refused() { [ "$(answer_code 5 "$KEY" POST checkins/echo -d x)" != 200 ]; }
must_reach "h5 refuses the key" 4 refused
for host in 1 2 3; do [ "${PIDS[h$host]:-}" ] || { rm -rf "$WORK/h$host"; start_host $host; GONE=$host; }; done
replaced() { "$FP" members add "h$GONE" && voters_are "${LIVE##* }" 3; }
must_reach "the lost host is replaced" 30 replaced
must_reach "and fresh" 20 is_fresh "$GONE"
echo "key on it: $(answer_code "$GONE" "$KEY" POST checkins/echo -d x)"
