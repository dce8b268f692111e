# A host is cut off silently. A key is withdrawn and a target leaves while it
# cannot hear of either: it must stop by itself.
. tests/lib.sh
begin_cell 4 3 'faults_allowed: true' || exit 1
start_target rack1 21 dc1 --service storefront --cpu-milli 4000 --memory-mb 4000
start_target rack2 22 dc2 --service storefront --cpu-milli 4000 --memory-mb 4000
until_true 10 target_up rack1 && until_true 10 target_up rack2 || exit 1
"$FP" team set kapnos >/dev/null
"$FP" queue set orders --kind service --service storefront >/dev/null
KEY=$(new_key counter kapnos)
KEEP=$(new_key keep kapnos)
for host in 1 2 3 4; do must_reach "served on h$host" 15 served_on $host "$KEY" orders; done

say "h4 is cut off from all others, both ways"
for other in 1 2 3; do on 4 fault cut h$other >/dev/null; done
"$FP" key withdraw counter --hosts "$(http_of 1),$(http_of 2),$(http_of 3)" >/dev/null && echo "the key is withdrawn"
"$FP" target leave rack1 --hosts "$(http_of 1),$(http_of 2),$(http_of 3)" >/dev/null && echo "rack1 leaves"
refused() { [ "$(answer_code 4 "$KEY" POST orders/echo -d x)" != 200 ]; }
must_reach "h4 refuses the key" 3 refused
for i in $(seq 1 20); do answer_code 4 "$KEY" POST orders/echo -d x; echo; done | sort | uniq -c | sed 's/^ *//'
call 4 "$KEEP" POST orders/echo -d x; echo
echo "ready for the balancer: $(curl -s "$(http_of 4)/readyz")"

say "the others go on, without rack1"
for i in $(seq 1 30); do call $((i % 3 + 1)) "$KEEP" POST orders/price -d '{}'; echo; done | sed -E 's/.*"target":"([a-z0-9]*)".*/\1/' | sort | uniq -c | sed 's/^ *//'

say "mended"
for other in 1 2 3; do on 4 fault mend h$other >/dev/null; done
must_reach "h4 follows again" 15 is_fresh 4
call 4 "$KEY" POST orders/echo -d x; echo
must_reach "h4 serves with the other key" 15 served_on 4 "$KEEP" orders
show on 4 fault cut nobody
