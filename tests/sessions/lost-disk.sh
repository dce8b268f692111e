# One replica after the other loses its disk and is replaced, each right after
# the one before has been repaired. No acknowledged change is lost, and no
# replica with an empty disk votes before it has caught up.
. tests/lib.sh
start_cell 3 3 || exit 1
change() { "$FP" team set "t$1" --limit-running "$1" --timeout-ms 20000 >/dev/null && ACKED=$((ACKED + 1)); }
ACKED=0
for i in $(seq 1 20); do change "$i"; done

lose_disk() { # NUMBER: kills the host, deletes its data folder, restarts it
    signal_process "h$1"
    rm -rf "$WORK/h$1"
    start_host "$1"
}
replaced() { # NUMBER OBSERVER
    "$FP" members add "h$1" && voter_count_is "$2" 3
}

for lost in 3 2; do
    heading "h$lost loses its disk"
    lose_disk $lost
    wait_until 20 has_leader
    for i in $(seq $((lost * 100)) $((lost * 100 + 9))); do change "$i"; done
    expect_state "h$lost is replaced and votes" 30 replaced $lost 1
done

heading "h1, the only host with its first disk, loses it right after"
lose_disk 1
expect_state "another host leads" 20 has_leader
wait_until 20 "$FP" team set after --limit-running 1 && ACKED=$((ACKED + 1))
expect_state "h1 is replaced and votes" 30 replaced 1 2

echo "acknowledged: $ACKED"
for host in 1 2 3; do
    expect_state "h$host is up to date" 20 is_fresh $host
    echo "h$host has: $(on_host $host list team | grep -c .)"
done
on_host 1 dump --json | grep '"role"' | sort | uniq -c | sed 's/^ *//'
