# Crowds one after the other: memory that one has left behind counts for the next.
. tests/platform/crowd.sh
start_small_fleet
for kind in whole chunked heads partial; do
    meet_crowd $kind 127.0.0.5 clients
done
