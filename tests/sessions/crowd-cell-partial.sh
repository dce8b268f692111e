# Bodies that stop short of their last byte, sent to a host of a cell (filbertpath serve).
. tests/lib.sh
start_cell 3 3 "limits: {memory_mb: 64, max_fds: 400}" || exit 1
WATCHED=
for host in h1 h2 h3; do WATCHED=$WATCHED${WATCHED:+,}$host=${PIDS[$host]}; done
python3 tests/platform/crowd.py partial --listener cell --address "$(http_address 2)" \
    --front "$(http_address 2)" --control "$(http_address 2)" --watch "$WATCHED" \
    $([[ $FP == *-san/* ]] && echo --ignore-memory) ${FIGURES:+--figures}
