# Two operators change one record at the same version at once: exactly one
# succeeds. Resending either change gets its first response again.
. tests/lib.sh
start_cell 3 3 || exit 1
"$FP" team set kapnos --limit-running 5 >/dev/null

for round in 1 2 3 4 5; do
    VERSION=$("$FP" list team --json | json_value version)
    on_host 2 team set kapnos --limit-running "1$round" --check-version --version "$VERSION" --change-id "a$round" >"$WORK/a" 2>&1 & A=$!
    on_host 3 team set kapnos --limit-running "2$round" --check-version --version "$VERSION" --change-id "b$round" >"$WORK/b" 2>&1 & B=$!
    wait $A; CODE_A=$?
    wait $B; CODE_B=$?
    echo "round $round: exit codes $(printf '%s\n' $CODE_A $CODE_B | sort -n | xargs)"
    # Both resend through another host, as if the responses had been lost.
    on_host 1 team set kapnos --limit-running "1$round" --check-version --version "$VERSION" --change-id "a$round" >"$WORK/a2" 2>&1; RESENT_CODE_A=$?
    on_host 1 team set kapnos --limit-running "2$round" --check-version --version "$VERSION" --change-id "b$round" >"$WORK/b2" 2>&1; RESENT_CODE_B=$?
    [ "$CODE_A $CODE_B" = "$RESENT_CODE_A $RESENT_CODE_B" ] && cmp "$WORK/a" "$WORK/a2" && cmp "$WORK/b" "$WORK/b2" && echo "the resent changes got the first responses"
    LIMIT=$("$FP" list team --json | json_value limit_running)
    [ "$CODE_A" = 0 ] && [ "$LIMIT" = "1$round" ] && echo "the accepted value is stored"
    [ "$CODE_B" = 0 ] && [ "$LIMIT" = "2$round" ] && echo "the accepted value is stored"
done
run_and_print on_host 2 team set kapnos --limit-running 99 --check-version --version 1
