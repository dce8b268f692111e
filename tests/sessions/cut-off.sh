# A host is partitioned from the others without any error. Meanwhile a key is
# withdrawn and a target leaves: the host cannot learn of either and must stop
# serving by itself.
. tests/lib.sh
start_cell 4 3 'faults_allowed: true' || exit 1
start_target rack1 21 dc1 --service storefront --cpu-milli 4000 --memory-mb 4000
start_target rack2 22 dc2 --service storefront --cpu-milli 4000 --memory-mb 4000
wait_until 10 target_is_up rack1 && wait_until 10 target_is_up rack2 || exit 1
"$FP" team set kapnos >/dev/null
"$FP" queue set orders --kind service --service storefront >/dev/null
KEY=$(create_key counter kapnos)
VALID_KEY=$(create_key keep kapnos)
for host in 1 2 3 4; do expect_state "served on h$host" 15 queue_is_served $host "$KEY" orders; done

heading "h4 is partitioned from all other hosts, in both directions"
for other in 1 2 3; do on_host 4 fault cut h$other >/dev/null; done
"$FP" key withdraw counter --hosts "$(http_address 1),$(http_address 2),$(http_address 3)" >/dev/null && echo "the key is withdrawn"
"$FP" target leave rack1 --hosts "$(http_address 1),$(http_address 2),$(http_address 3)" >/dev/null && echo "rack1 leaves"
key_is_refused() { [ "$(call_status 4 "$KEY" POST orders/echo -d x)" != 200 ]; }
expect_state "h4 refuses the key" 3 key_is_refused
for i in $(seq 1 20); do call_status 4 "$KEY" POST orders/echo -d x; echo; done | sort | uniq -c | sed 's/^ *//'
call 4 "$VALID_KEY" POST orders/echo -d x; echo
echo "readiness of h4: $(curl -s "$(http_address 4)/readyz")"

heading "the other hosts keep serving, without rack1"
for i in $(seq 1 30); do call $((i % 3 + 1)) "$VALID_KEY" POST orders/price -d '{}'; echo; done | sed -E 's/.*"target":"([a-z0-9]*)".*/\1/' | sort | uniq -c | sed 's/^ *//'

heading "the partition ends"
for other in 1 2 3; do on_host 4 fault mend h$other >/dev/null; done
expect_state "h4 is up to date again" 15 is_fresh 4
call 4 "$KEY" POST orders/echo -d x; echo
expect_state "h4 serves with the other key" 15 queue_is_served 4 "$VALID_KEY" orders
run_and_print on_host 4 fault cut nobody
