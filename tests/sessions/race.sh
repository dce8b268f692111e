# Operators race with one version number and resend after lost answers: of two
# exactly one wins, and a resend gets the first answer.
. tests/lib.sh
begin_cell 3 3 || exit 1
"$FP" team set kapnos --limit-running 5 >/dev/null

for round in 1 2 3 4 5; do
    VERSION=$("$FP" list team --json | value version)
    on 2 team set kapnos --limit-running "1$round" --check-version --version "$VERSION" --change-id "a$round" >"$WORK/a" 2>&1 & A=$!
    on 3 team set kapnos --limit-running "2$round" --check-version --version "$VERSION" --change-id "b$round" >"$WORK/b" 2>&1 & B=$!
    wait $A; CODE_A=$?
    wait $B; CODE_B=$?
    echo "round $round: exit codes $(printf '%s\n' $CODE_A $CODE_B | sort -n | xargs)"
    # Both resend, as after lost answers, through other hosts.
    on 1 team set kapnos --limit-running "1$round" --check-version --version "$VERSION" --change-id "a$round" >"$WORK/a2" 2>&1; AGAIN_A=$?
    on 1 team set kapnos --limit-running "2$round" --check-version --version "$VERSION" --change-id "b$round" >"$WORK/b2" 2>&1; AGAIN_B=$?
    [ "$CODE_A $CODE_B" = "$AGAIN_A $AGAIN_B" ] && cmp "$WORK/a" "$WORK/a2" && cmp "$WORK/b" "$WORK/b2" && echo "the resends got the first answers"
    LIMIT=$("$FP" list team --json | value limit_running)
    [ "$CODE_A" = 0 ] && [ "$LIMIT" = "1$round" ] && echo "the winner's value holds"
    [ "$CODE_B" = 0 ] && [ "$LIMIT" = "2$round" ] && echo "the winner's value holds"
done
show on 2 team set kapnos --limit-running 99 --check-version --version 1
