#!/usr/bin/env bash
# models.sh -- spin checks each model whole, and must refute each mutant, so
# that the check is known to be able to fail. Prints "OK NAME" or "FAILED NAME".
cd "$(dirname "$0")/.." || exit 1
DIR=$(dirname "${FP:-build/filbertpath}")/models
mkdir -p "$DIR"

# -E: a run may end anywhere, since time and terms are bounded.
check() { # MODEL MUTANT EXPECTED_ERRORS (0 or some)
    local name=$1${2:+-$2} errors complete
    (
        mkdir -p "$DIR/$name" && cp "spec/$1.pml" "$DIR/$name/" && cd "$DIR/$name" &&
            spin -a ${2:+"-D$2"} "$1.pml" >spin.log 2>&1 &&
            gcc -O2 -w -DSAFETY -DMEMLIM=3000 -DCOLLAPSE -o pan pan.c &&
            ./pan -E -m2000000 -w24 >pan.log 2>&1
    )
    errors=$(sed -n 's/.*errors: \([0-9]*\)$/\1/p' "$DIR/$name/pan.log")
    complete=$(grep -c -E 'max search depth too small|out of memory|aborted' "$DIR/$name/pan.log")
    if [ "$3" = 0 ]; then
        [ "$errors" = 0 ] && [ "$complete" = 0 ]
    else
        [ "${errors:-0}" -gt 0 ]
    fi
    if [ $? = 0 ]; then echo "OK model-$name"; else echo "FAILED model-$name"; fi
}

check lease "" 0
check lease NO_WAIT some
check lease FROM_ANSWER some
check lease NO_CHECK some
check raft "" 0
check raft WIPED_VOTES some
check raft NO_CATCH_UP some
check raft ANY_LOG some
check raft OLD_TERM some
