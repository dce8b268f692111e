# A replica's disk is lost and replaced; right after the repair a second host
# loses its disk too. Nothing that was acknowledged is lost, and no identity
# votes that has not caught up.
. tests/lib.sh
begin_cell 3 3 || exit 1
change() { "$FP" team set "t$1" --limit-running "$1" --timeout-ms 20000 >/dev/null && ACKED=$((ACKED + 1)); }
ACKED=0
for i in $(seq 1 20); do change "$i"; done

lose() { # the host dies and its folder is gone
    kill_it "h$1"
    rm -rf "$WORK/h$1"
    start_host "$1"
}
replaced() { "$FP" members add "h$1" && voters_are "$2" 3; }

for lost in 3 2; do
    say "h$lost loses its disk"
    lose $lost
    until_true 20 has_leader
    for i in $(seq $((lost * 100)) $((lost * 100 + 9))); do change "$i"; done
    must_reach "h$lost is replaced and votes" 30 replaced $lost 1
done

say "the third one goes at once: the host that had everything from the start"
lose 1
must_reach "another host leads" 20 has_leader
until_true 20 "$FP" team set after --limit-running 1 && ACKED=$((ACKED + 1))
must_reach "h1 is replaced and votes" 30 replaced 1 2

echo "acknowledged: $ACKED"
for host in 1 2 3; do
    must_reach "h$host is fresh" 20 is_fresh $host
    echo "h$host has: $(on $host list team | grep -c .)"
done
on 1 dump --json | grep '"role"' | sort | uniq -c | sed 's/^ *//'
