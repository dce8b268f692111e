#!/usr/bin/env bash
# models.sh -- checks the models with spin: no errors in the model itself, and at
# least one in each mutant, which shows that the check can fail. Prints "OK NAME"
# or "FAILED NAME" for each.
cd "$(dirname "$0")/.." || exit 1
DIR=$(dirname "${FP:-build/filbertpath}")/models
mkdir -p "$DIR"

# pan's -E ignores invalid end states: time and terms are bounded, so an
# execution may end anywhere.
check_model() { # MODEL MUTANT EXPECTED_ERRORS (0 or some)
    local name=$1${2:+-$2} errors incomplete
    (
        mkdir -p "$DIR/$name" && cp "spec/$1.pml" "$DIR/$name/" && cd "$DIR/$name" &&
            spin -a ${2:+"-D$2"} "$1.pml" >spin.log 2>&1 &&
            gcc -O2 -w -DSAFETY -DMEMLIM=3000 -DCOLLAPSE -o pan pan.c &&
            ./pan -E -m2000000 -w24 >pan.log 2>&1
    )
    errors=$(sed -n 's/.*errors: \([0-9]*\)$/\1/p' "$DIR/$name/pan.log")
    incomplete=$(grep -c -E 'max search depth too small|out of memory|aborted' "$DIR/$name/pan.log")
    if [ "$3" = 0 ]; then
        [ "$errors" = 0 ] && [ "$incomplete" = 0 ]
    else
        [ "${errors:-0}" -gt 0 ]
    fi
    if [ $? = 0 ]; then echo "OK model-$name"; else echo "FAILED model-$name"; fi
}

check_model lease "" 0
check_model lease NO_WAIT some
check_model lease FROM_ANSWER some
check_model lease NO_CHECK some
check_model restart "" 0
check_model restart VOTES_AT_ONCE some
check_model restart NOT_RECORDED some
check_model restart ANY_REQUEST some
check_model restart ANY_TERM some
# With two entries, by hand: see the model.
check_model substitute MAX_LENGTH=1 0
check_model substitute UNKNOWN_LIST some
check_model substitute ONE_LIST some
check_model substitute ODD_LIST some
check_model substitute TWO_SUBSTITUTES some
check_model raft "" 0
check_model raft WIPED_VOTES some
check_model raft NO_CATCH_UP some
check_model raft ANY_LOG some
check_model raft OLD_TERM some
